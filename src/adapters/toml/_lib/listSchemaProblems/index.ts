import type { z } from 'zod';
import {
  ProblemKind,
  type ConfigurationProblem,
  type KeyOrigin,
  type TomlTable,
} from '../../types';
import { findOrigin } from '../findOrigin';

/** A key and the reason why its value is not valid. */
interface Fault {
  readonly path: readonly string[];
  readonly reason: string;
}

function readPath(table: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (value, segment) =>
      typeof value === 'object' && value !== null
        ? (value as Record<string, unknown>)[segment]
        : undefined,
    table,
  );
}

function convertIssue(issue: z.core.$ZodIssue, table: TomlTable): readonly Fault[] {
  const path = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ path: [...path, key], reason: 'unknown key' }));
  }
  if (issue.code === 'invalid_key') {
    const reasons = issue.issues.map((inner) => inner.message).join('; ');
    return [{ path, reason: `bad name: ${reasons}` }];
  }
  const isMissing = path.length > 0 && readPath(table, path) === undefined;
  return [{ path, reason: isMissing ? `is missing (${issue.message})` : issue.message }];
}

/** Builds the problem of a fault, with the file and line of its key. */
export function buildProblem(
  fault: Fault,
  origins: readonly KeyOrigin[],
  file: string,
): ConfigurationProblem {
  const origin = findOrigin(origins, fault.path);
  return {
    kind: ProblemKind.Invalid,
    file: origin?.file ?? file,
    line: origin?.line ?? 0,
    key: fault.path.join('.'),
    reason: fault.reason,
  };
}

/**
 * Lists the schema errors of a table, with file and line.
 *
 * @param file - file to name if a key's origin is not known
 */
export function listSchemaProblems(
  error: z.ZodError,
  table: TomlTable,
  origins: readonly KeyOrigin[],
  file: string,
): readonly ConfigurationProblem[] {
  return error.issues
    .flatMap((issue) => convertIssue(issue, table))
    .map((fault) => buildProblem(fault, origins, file));
}
