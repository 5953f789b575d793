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

/** Dependencies of an operation runner. */
export interface OperationRunnerDependencies {
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Receives an event when the circuit breaker opens or closes. */
  readonly eventLog?: EventLog;
}

/** How an operation is treated when its response is lost. */
export interface OperationKind {
  /** A write without a response in time fails as `ambiguous`, a read as `unavailable`. */
  readonly write: boolean;
  /** Whether the operation is idempotent, so that it is retried after a lost response. */
  readonly repeatable: boolean;
}

/** Runs operations on one store with deadline, retries and circuit breaker. */
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
 * Creates an operation runner for one store: one deadline for an operation and its retries,
 * jittered backoff, a retry budget, and a circuit breaker shared by all operations.
 */
export function createOperationRunner(
  name: string,
  policy: StorePolicy,
  { clock, randomness, eventLog }: OperationRunnerDependencies,
): OperationRunner {
  let breaker: Breaker = CLOSED_BREAKER;
  let budget: RetryBudget = { tokens: policy.budget.maxTokens };

  const setBreaker = (next: Breaker): void => {
    const previousKind = breaker.kind;
    breaker = next;
    if (previousKind === 'closed' && next.kind === 'open') {
      eventLog?.warn('store circuit opened', { store: name });
    }
    if (previousKind !== 'closed' && next.kind === 'closed') {
      eventLog?.info('store circuit closed', { store: name });
    }
  };
  const spendRetry = (): boolean => {
    const next = updateRetryBudget(budget, 'retry', policy.budget);
    if (next !== null) budget = next;
    return next !== null;
  };

  const runOnce = async <T>(
    operation: () => Promise<Result<T, StoreError>>,
    kind: OperationKind,
    deadlineAtMs: number,
  ): Promise<Result<T, StoreError>> => {
    const admission = checkBreaker(breaker, clock.readMonotonicMs(), policy.breaker.probeTimeoutMs);
    if (admission.isErr()) {
      const { retryAfterMs } = admission.error;
      return err({ kind: 'unavailable', reason: `${name}: circuit breaker open`, retryAfterMs });
    }
    setBreaker(admission.value.breaker);
    const remainingMs = deadlineAtMs - clock.readMonotonicMs();
    const result = await waitForResult(operation, clock, remainingMs, kind.write);
    const callEnd = {
      failed: isFailure(result),
      probe: admission.value.probe,
      nowMs: clock.readMonotonicMs(),
      fraction: randomness.readFraction(),
    };
    setBreaker(updateBreaker(breaker, callEnd, policy.breaker));
    return result;
  };

  return {
    runOperation: async (operation, kind) => {
      const deadlineAtMs = clock.readMonotonicMs() + policy.deadlineMs;
      budget = updateRetryBudget(budget, 'request', policy.budget) ?? budget;
      let result = await runOnce(operation, kind, deadlineAtMs);
      for (let retry = 0; retry < policy.maxRetries && isRetryable(result, kind); retry += 1) {
        const delayMs = computeBackoffMs(retry, randomness.readFraction(), policy.backoff);
        const isInTime = clock.readMonotonicMs() + delayMs < deadlineAtMs;
        if (breaker.kind !== 'closed' || !isInTime || !spendRetry()) return result;
        await waitDelay(clock, delayMs);
        if (breaker.kind !== 'closed') return result;
        result = await runOnce(operation, kind, deadlineAtMs);
      }
      return result;
    },
  };
}
