import type { Retry } from '../../../src/application/forwarding';

/** Options of counted retries. */
export interface CountedRetriesOptions {
  readonly count: number;
  /** Runs while a retry is acquired. */
  readonly handleAsked?: () => void;
}

/** Retries that a test counts. */
export interface CountedRetries {
  /** Takes a retry as the lender does; null if none is left. */
  acquireRetry(): Promise<Retry | null>;
  countLeft(): number;
  countAsked(): number;
}

/** Creates retries of which some are left. */
export const createCountedRetries = ({
  count,
  handleAsked = () => undefined,
}: CountedRetriesOptions): CountedRetries => {
  let left = count;
  let asked = 0;
  return {
    countLeft: () => left,
    countAsked: () => asked,
    acquireRetry: async () => {
      if (left === 0) return null;
      left -= 1;
      asked += 1;
      handleAsked();
      return {
        release: () => {
          left += 1;
        },
        finish: () => undefined,
      };
    },
  };
};
