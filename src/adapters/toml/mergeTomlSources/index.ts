import { findOrigin } from '../_lib/findOrigin';
import { isTomlTable } from '../_lib/isTomlTable';
import {
  ProblemKind,
  type ConfigurationProblem,
  type KeyOrigin,
  type TomlSource,
  type TomlTable,
} from '../types';

const OVERRIDE_KEY = 'override';

/** Several TOML files merged into one table. */
export interface MergedToml {
  readonly table: TomlTable;
  readonly origins: readonly KeyOrigin[];
  readonly problems: readonly ConfigurationProblem[];
}

const EMPTY_MERGE: MergedToml = { table: {}, origins: [], problems: [] };

/** Lists the paths of keys that both tables set, unless both values are tables. */
function listConflicts(
  before: TomlTable,
  after: TomlTable,
  path: readonly string[],
): readonly (readonly string[])[] {
  return Object.entries(after).flatMap(([key, value]) => {
    if (!Object.hasOwn(before, key)) {
      return [];
    }
    const existingValue = before[key];
    if (isTomlTable(existingValue) && isTomlTable(value)) {
      return listConflicts(existingValue, value, [...path, key]);
    }
    return [[...path, key]];
  });
}

/** Merges tables deeply; of two other values, the later one wins. */
function mergeTables(before: TomlTable, after: TomlTable): TomlTable {
  const merged = Object.entries(after).map(([key, value]) => {
    const earlier = Object.hasOwn(before, key) ? before[key] : undefined;
    const areTables = isTomlTable(earlier) && isTomlTable(value);
    return [key, areTables ? mergeTables(earlier, value) : value] as const;
  });
  // `fromEntries` defines own properties, so a key named `__proto__` does not change a prototype.
  return Object.fromEntries([...Object.entries(before), ...merged]);
}

function buildConflictProblem(
  merged: MergedToml,
  source: TomlSource,
  path: readonly string[],
): ConfigurationProblem {
  const first = findOrigin(merged.origins, path);
  const second = findOrigin(source.origins, path);
  return {
    kind: ProblemKind.SetTwice,
    file: source.file,
    line: second?.line ?? 0,
    key: path.join('.'),
    reason:
      `is already set in ${first?.file ?? 'an earlier file'}:${first?.line ?? 0}; ` +
      'remove one, or put "override = true" at the top of this file',
  };
}

function checkOverride(source: TomlSource): readonly ConfigurationProblem[] {
  const value = source.table[OVERRIDE_KEY];
  if (value === undefined || typeof value === 'boolean') {
    return [];
  }
  const line = findOrigin(source.origins, [OVERRIDE_KEY])?.line ?? 0;
  const reason = 'must be true or false';
  return [{ kind: ProblemKind.Invalid, file: source.file, line, key: OVERRIDE_KEY, reason }];
}

function mergeSource(merged: MergedToml, source: TomlSource): MergedToml {
  const { [OVERRIDE_KEY]: override, ...table } = source.table;
  const conflicts = override === true ? [] : listConflicts(merged.table, table, []);
  const problems = conflicts.map((path) => buildConflictProblem(merged, source, path));
  return {
    table: mergeTables(merged.table, table),
    origins: [...merged.origins, ...source.origins],
    problems: [...merged.problems, ...checkOverride(source), ...problems],
  };
}

/**
 * Merges files in the given order. Tables are merged deeply, and no two files may set the same key.
 *
 * A file with `override = true` at its top may set existing keys; its values then win.
 *
 * @returns the merged table, and a problem with both locations for each key that is set twice
 */
export function mergeTomlSources(sources: readonly TomlSource[]): MergedToml {
  return sources.reduce(mergeSource, EMPTY_MERGE);
}
