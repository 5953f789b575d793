import type { GenerationEffect, ReaderId } from '../../../../domain/generation';
import { RefusalCode } from '../../../../domain/types';
import type { Permit } from '../../../limits';
import type { StreamRun, StreamPlacement } from '../../types';
import { checkStreamStart } from '../checkStreamStart';
import { chooseStreamPlacement } from '../chooseStreamPlacement';
import { skipRateLimited } from '../skipRateLimited';
import { logDecision } from '../logDecision';
import { refuseQuarantined } from '../refuseQuarantined';

/** The order to open an attempt. */
export type OpenAttemptEffect = Extract<GenerationEffect, { kind: 'open-attempt' }>;

/** An attempt that may be sent. */
export interface PreparedAttempt {
  readonly placement: StreamPlacement;
  readonly permit: Permit;
  /** True: it uses one of the service's repeats. */
  readonly isRepeat: boolean;
}

/** When a caller that got no server may come back: a crashed server is back or gone by then. */
const RETRY_AFTER_MS = 300;

/** Servers that are passed over because their rate limit leaves nothing, at the most. */
const MAX_LIMITED = 6;

/** A caller who waits here is served by whichever server is there first; a new one comes back later. */
const computeRetryMs = ({ arrivedAttempts, context, dependencies }: StreamRun): number =>
  arrivedAttempts > 0
    ? RETRY_AFTER_MS
    : Math.max(RETRY_AFTER_MS, dependencies.directory.readShortestPauseMs(context.service));

const refuse = (run: StreamRun, reader: ReaderId, message: string): void =>
  run.dispatch({
    kind: 'slot-refused',
    reader,
    refusal: { code: RefusalCode.NoReadyServer, message, retryAfterMs: computeRetryMs(run) },
  });

/** Chooses servers of which the first one may be sent a request now; null if none may. */
const choosePermitted = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<Pick<PreparedAttempt, 'permit' | 'placement'> | null> => {
  const { permits } = run.dependencies;
  const limitedIds = new Set<string>();
  while (limitedIds.size < MAX_LIMITED) {
    const servers = await chooseStreamPlacement(run, new Set([...excludedIds, ...limitedIds]));
    if (!servers) return null;
    const { id } = servers.server;
    const permit = await permits.acquirePermit(id);
    if (typeof permit !== 'number') return { placement: servers, permit };
    skipRateLimited(run.dependencies, run.context, servers.server, permit);
    limitedIds.add(id);
  }
  return null;
};

/**
 * Chooses the servers of a stream's next attempt, and takes what it needs to be sent: a permit, and a
 * repeat if another one arrived somewhere. What is not used is given back.
 *
 * @returns null if it is not to be sent; then the stream knows why
 */
export const prepareStreamAttempt = async (
  run: StreamRun,
  { excludedServers, reader }: OpenAttemptEffect,
): Promise<PreparedAttempt | null> => {
  const { lender, retries } = run.dependencies;
  const { context } = run;
  const chosen = await choosePermitted(run, new Set(excludedServers));
  // The caller may have left, or the deadline passed, while others were asked.
  const isWanted = (): boolean =>
    !run.isEnded() && run.readState().attempts.some(({ attempt }) => attempt === reader.attempt);
  if (!isWanted()) {
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
  if (!isWanted() || refuseQuarantined(run)) {
    permit.release();
    if (isRepeat) retries.releaseRetry(context.service);
    return null;
  }
  Object.assign(run, { hasReservedRetry: false });
  if (placement.copy) return { placement, permit, isRepeat };
  if (run.prefillAttempts >= context.route.maxAttempts) {
    permit.release();
    refuse(run, reader, 'the request went to as many servers as it may');
    return null;
  }
  Object.assign(run, { prefillAttempts: run.prefillAttempts + 1 });
  return { placement, permit, isRepeat };
};
