import { err, type Result } from 'neverthrow';
import {
  checkBreaker,
  CLOSED_BREAKER,
  computeBackoffMs,
  updateBreaker,
  updateRetryBudget,
  type Breaker,
  type RetryBudget,
} from '../../../domain/retry';
import type { Clock, EventLog, Randomness, StoreError } from '../../ports';
import { waitDelay } from '../../time';
import type { StorePolicy } from '../policies';
import { waitForResult } from '../_lib/waitForResult';

/** What a guard needs. */
export interface OperationRunnerDependencies {
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Told when the breaker opens and closes. */
  readonly eventLog?: EventLog;
}

/** What a lost answer means for an operation. */
export interface OperationKind {
  /** A write whose answer is late is `ambiguous`, a read merely `unavailable`. */
  readonly write: boolean;
  /** Whether it can be sent again after a lost answer without harm. */
  readonly repeatable: boolean;
}

/** Runs operations on one store under one policy. */
export interface OperationRunner {
  runOperation<T>(
    operation: () => Promise<Result<T, StoreError>>,
    kind: OperationKind,
  ): Promise<Result<T, StoreError>>;
}

const FAILURES: ReadonlySet<StoreError['kind']> = new Set<StoreError['kind']>([
  'unavailable',
  'ambiguous',
]);

const isFailure = (result: Result<unknown, StoreError>): boolean =>
  result.isErr() && FAILURES.has(result.error.kind);

const isRetryable = (result: Result<unknown, StoreError>, kind: OperationKind): boolean =>
  result.isErr() &&
  (result.error.kind === 'unavailable' || (result.error.kind === 'ambiguous' && kind.repeatable));

/**
 * Creates a guard over one store: one deadline over an operation and its retries, jittered backoff,
 * a retry budget, and a circuit breaker that all operations share.
 */
export function createOperationRunner(
  name: string,
  policy: StorePolicy,
  { clock, randomness, eventLog }: OperationRunnerDependencies,
): OperationRunner {
  let breaker: Breaker = CLOSED_BREAKER;
  let budget: RetryBudget = { tokens: policy.budget.maxTokens };

  const setBreaker = (next: Breaker): void => {
    const was = breaker.kind;
    breaker = next;
    if (was === 'closed' && next.kind === 'open') {
      eventLog?.warn('store circuit opened', { store: name });
    }
    if (was !== 'closed' && next.kind === 'closed') {
      eventLog?.info('store circuit closed', { store: name });
    }
  };
  const takeRetry = (): boolean => {
    const next = updateRetryBudget(budget, 'retry', policy.budget);
    if (next !== null) budget = next;
    return next !== null;
  };

  const runOnce = async <T>(
    operation: () => Promise<Result<T, StoreError>>,
    kind: OperationKind,
    untilMs: number,
  ): Promise<Result<T, StoreError>> => {
    const leave = checkBreaker(breaker, clock.readMonotonicMs(), policy.breaker.probeTimeoutMs);
    if (leave.isErr()) {
      const { retryAfterMs } = leave.error;
      return err({ kind: 'unavailable', reason: `${name}: circuit open`, retryAfterMs });
    }
    setBreaker(leave.value.breaker);
    const remainingMs = untilMs - clock.readMonotonicMs();
    const result = await waitForResult(operation, clock, remainingMs, kind.write);
    const end = {
      failed: isFailure(result),
      probe: leave.value.probe,
      nowMs: clock.readMonotonicMs(),
      fraction: randomness.readFraction(),
    };
    setBreaker(updateBreaker(breaker, end, policy.breaker));
    return result;
  };

  return {
    runOperation: async (operation, kind) => {
      const untilMs = clock.readMonotonicMs() + policy.deadlineMs;
      budget = updateRetryBudget(budget, 'request', policy.budget) ?? budget;
      let result = await runOnce(operation, kind, untilMs);
      for (let retry = 0; retry < policy.maxRetries && isRetryable(result, kind); retry += 1) {
        const delayMs = computeBackoffMs(retry, randomness.readFraction(), policy.backoff);
        const inTime = clock.readMonotonicMs() + delayMs < untilMs;
        if (breaker.kind !== 'closed' || !inTime || !takeRetry()) return result;
        await waitDelay(clock, delayMs);
        if (breaker.kind !== 'closed') return result;
        result = await runOnce(operation, kind, untilMs);
      }
      return result;
    },
  };
}
