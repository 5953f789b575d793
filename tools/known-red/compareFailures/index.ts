import type { KnownRed } from '../readKnownRed';

/** What the failures of a run mean. */
export interface FailureVerdict {
  /** Lines of the list whose test failed. */
  readonly known: readonly string[];
  /** Failures that the list does not name. */
  readonly unknown: readonly string[];
}

/** Compares the failures of a run with those that are known; only a whole name matches. */
export function compareFailures(
  failures: readonly string[],
  knownRed: readonly KnownRed[],
): FailureVerdict {
  const isKnown = (failure: string): boolean => knownRed.some(({ name }) => name === failure);
  return {
    known: knownRed.filter(({ name }) => failures.includes(name)).map(({ line }) => line),
    unknown: failures.filter((failure) => !isKnown(failure)),
  };
}
