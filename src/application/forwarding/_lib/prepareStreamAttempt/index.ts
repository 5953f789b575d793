import type { GenerationEffect, ReaderId } from '../../../../domain/generation';
import { RefusalCode } from '../../../../domain/types';
import type { Permit } from '../../../limits';
import type { StreamRun, StreamPlacement } from '../../types';
import { checkStreamStart } from '../checkStreamStart';
import { chooseStreamPlacement } from '../chooseStreamPlacement';
import { skipRateLimited } from '../skipRateLimited';
import { logDecision } from '../logDecision';
import { refuseQuarantined } from '../refuseQuarantined';

/** The effect that opens an attempt. */
export type OpenAttemptEffect = Extract<GenerationEffect, { kind: 'open-attempt' }>;

/** An attempt that may be sent. */
export interface PreparedAttempt {
  readonly placement: StreamPlacement;
  readonly permit: Permit;
  /** True if the attempt uses one of the service's retries. */
  readonly isRepeat: boolean;
}

/**
 * Minimum retry time of a caller that got no server: by then a crashed server is back or known to
 * be gone.
 */
const RETRY_AFTER_MS = 300;

/** Maximum number of servers that are skipped because of their rate limit. */
const MAX_RATE_LIMITED = 6;

/**
 * A stream that reached a server before waits here for the first free server; the caller of a new
 * stream retries later.
 */
const computeRetryAfterMs = ({ arrivedAttempts, context, dependencies }: StreamRun): number =>
  arrivedAttempts > 0
    ? RETRY_AFTER_MS
    : Math.max(RETRY_AFTER_MS, dependencies.directory.readShortestPauseMs(context.service));

const refuse = (run: StreamRun, reader: ReaderId, message: string): void =>
  run.dispatch({
    kind: 'slot-refused',
    reader,
    refusal: { code: RefusalCode.NoReadyServer, message, retryAfterMs: computeRetryAfterMs(run) },
  });

/** Chooses a placement whose server grants a permit now; null if there is none. */
const choosePermitted = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<Pick<PreparedAttempt, 'permit' | 'placement'> | null> => {
  const { permits } = run.dependencies;
  const rateLimitedIds = new Set<string>();
  while (rateLimitedIds.size < MAX_RATE_LIMITED) {
    const placement = await chooseStreamPlacement(
      run,
      new Set([...excludedIds, ...rateLimitedIds]),
    );
    if (!placement) return null;
    const { id } = placement.server;
    const permit = await permits.acquirePermit(id);
    if (typeof permit !== 'number') return { placement, permit };
    skipRateLimited(run.dependencies, run.context, placement.server, permit);
    rateLimitedIds.add(id);
  }
  return null;
};

/**
 * Chooses the placement of a stream's next attempt and acquires what sending it needs: a permit,
 * and a retry unless it is the first attempt to reach a server. Unused permits and retries are
 * released.
 *
 * @returns null if the attempt must not be sent; the stream has been told the reason
 */
export const prepareStreamAttempt = async (
  run: StreamRun,
  { excludedServers, reader }: OpenAttemptEffect,
): Promise<PreparedAttempt | null> => {
  const { lender, retries } = run.dependencies;
  const { context } = run;
  const chosen = await choosePermitted(run, new Set(excludedServers));
  // The caller may have disconnected, or the deadline may have passed, during the queries.
  const isStillNeeded = (): boolean =>
    !run.isEnded() && run.readState().attempts.some(({ attempt }) => attempt === reader.attempt);
  if (!isStillNeeded()) {
    chosen?.permit.release();
    logDecision(run.dependencies, context, 'stream not sent', { attempt: reader.attempt });
    return null;
  }
  if (!chosen) {
    refuse(run, reader, 'no server takes work');
    return null;
  }
  const { permit, placement } = chosen;
  const refusal = run.arrivedAttempts === 0 ? checkStreamStart(run, placement) : null;
  if (refusal) {
    permit.release();
    run.refuse(refusal);
    return null;
  }
  const isRepeat = run.arrivedAttempts > 0;
  if (isRepeat && !run.hasReservedRetry && !(await lender.acquireRetry(context.service))) {
    permit.release();
    refuse(run, reader, 'no retry left');
    return null;
  }
  if (!isStillNeeded() || refuseQuarantined(run)) {
    permit.release();
    if (isRepeat) retries.releaseRetry(context.service);
    return null;
  }
  Object.assign(run, { hasReservedRetry: false });
  if (placement.copy) return { placement, permit, isRepeat };
  if (run.prefillAttempts >= context.route.maxAttempts) {
    permit.release();
    refuse(run, reader, 'the request was sent to the maximum number of servers');
    return null;
  }
  Object.assign(run, { prefillAttempts: run.prefillAttempts + 1 });
  return { placement, permit, isRepeat };
};
