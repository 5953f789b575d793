import type { KnownFailure } from '../readKnownFailures';

/** What the failures of a run mean. */
export interface FailureComparison {
  /** Lines of the list whose test failed. */
  readonly known: readonly string[];
  /** Failures that the list does not name. */
  readonly unknown: readonly string[];
  /** Lines of the list whose test passed, or was not there. */
  readonly stale: readonly string[];
}

/** Compares the failures of a run with those that are known; only a whole name matches. */
export function compareFailures(
  failures: readonly string[],
  knownRed: readonly KnownFailure[],
): FailureComparison {
  const isKnown = (failure: string): boolean => knownRed.some(({ name }) => name === failure);
  const listLines = (hasFailed: boolean): string[] =>
    knownRed.filter(({ name }) => failures.includes(name) === hasFailed).map(({ line }) => line);
  return {
    known: listLines(true),
    unknown: failures.filter((failure) => !isKnown(failure)),
    stale: listLines(false),
  };
}
