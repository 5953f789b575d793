import type { Configuration } from '../../types';
import type { ConfigurationChange } from '../types';

interface Leaf {
  readonly key: string;
  readonly json: string;
}

/** Keys list items by name, so that an added item does not change the keys of the others. */
function readItemName(item: unknown, index: number): string {
  const { name, backendServer } = (item ?? {}) as { name?: string; backendServer?: string };
  return name ?? backendServer ?? String(index);
}

function isScalarList(value: unknown): boolean {
  return Array.isArray(value) && value.every((item) => typeof item !== 'object');
}

function listLeaves(value: unknown, key: string): readonly Leaf[] {
  if (typeof value !== 'object' || value === null || isScalarList(value)) {
    return [{ key, json: JSON.stringify(value) }];
  }
  const entries: [string, unknown][] = Array.isArray(value)
    ? value.map((item, index) => [readItemName(item, index), item])
    : Object.entries(value);
  return entries.flatMap(([name, inner]) =>
    listLeaves(inner, key === '' ? name : `${key}.${name}`),
  );
}

function buildLeafMap(configuration: Configuration | null): ReadonlyMap<string, string> {
  const leaves = configuration === null ? [] : listLeaves(configuration, '');
  return new Map(leaves.map(({ key, json }) => [key, json]));
}

/**
 * Compares two configurations value by value.
 *
 * @param before - the old configuration, or null for an empty one
 * @returns the differences, sorted by key; empty if the configurations are equal
 */
export function compareConfigurations(
  before: Configuration | null,
  after: Configuration,
): readonly ConfigurationChange[] {
  const old = buildLeafMap(before);
  const next = buildLeafMap(after);
  const keys = [...new Set([...old.keys(), ...next.keys()])].sort();
  return keys
    .map((key) => ({ key, before: old.get(key) ?? '', after: next.get(key) ?? '' }))
    .filter((change) => change.before !== change.after);
}
