import type { KnownFailure } from '../readKnownFailures';

/** Failures of a run compared with the list of known failures. */
export interface FailureComparison {
  /** Lines of the list whose test failed. */
  readonly known: readonly string[];
  /** Failures that the list does not name. */
  readonly unknown: readonly string[];
  /** Lines of the list whose test passed or does not exist. */
  readonly stale: readonly string[];
}

/** Compares the failures of a run with the known failures; only whole names match. */
export function compareFailures(
  failures: readonly string[],
  knownFailures: readonly KnownFailure[],
): FailureComparison {
  const isKnown = (failure: string): boolean => knownFailures.some(({ name }) => name === failure);
  const listLines = (hasFailed: boolean): string[] =>
    knownFailures
      .filter(({ name }) => failures.includes(name) === hasFailed)
      .map(({ line }) => line);
  return {
    known: listLines(true),
    unknown: failures.filter((failure) => !isKnown(failure)),
    stale: listLines(false),
  };
}
