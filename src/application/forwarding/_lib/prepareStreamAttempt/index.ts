import type { GenerationEffect, ReaderId } from '../../../../domain/generation';
import { RefusalCode } from '../../../../domain/types';
import type { Permit } from '../../../limits';
import type { StreamRun, StreamServers } from '../../types';
import { checkStreamStart } from '../checkStreamStart';
import { chooseStreamServers } from '../chooseStreamServers';
import { passOverLimited } from '../passOverLimited';
import { recordDecision } from '../recordDecision';
import { refuseQuarantined } from '../refuseQuarantined';

/** The order to open an attempt. */
export type OpenAttempt = Extract<GenerationEffect, { kind: 'open-attempt' }>;

/** An attempt that may be sent. */
export interface PreparedAttempt {
  readonly servers: StreamServers;
  readonly permit: Permit;
  /** True: it uses one of the service's repeats. */
  readonly isRepeat: boolean;
}

/** When a caller that got no server may come back: a crashed server is back or gone by then. */
const RETRY_AFTER_MS = 300;

/** Servers that are passed over because their rate limit leaves nothing, at the most. */
const MAX_LIMITED = 6;

/** A caller who waits here is served by whichever server is there first; a new one comes back later. */
const computeRetryMs = ({ arrivals, context, dependencies }: StreamRun): number =>
  arrivals > 0
    ? RETRY_AFTER_MS
    : Math.max(RETRY_AFTER_MS, dependencies.directory.readPauseMs(context.service));

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
): Promise<Pick<PreparedAttempt, 'permit' | 'servers'> | null> => {
  const { permits } = run.dependencies;
  const limitedIds = new Set<string>();
  while (limitedIds.size < MAX_LIMITED) {
    const servers = await chooseStreamServers(run, new Set([...excludedIds, ...limitedIds]));
    if (!servers) return null;
    const { id } = servers.server;
    const permit = await permits.acquirePermit(id);
    if (typeof permit !== 'number') return { servers, permit };
    passOverLimited(run.dependencies, run.context, servers.server, permit);
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
  { excludedServers, reader }: OpenAttempt,
): Promise<PreparedAttempt | null> => {
  const { lender, retries } = run.dependencies;
  const { context } = run;
  const chosen = await choosePermitted(run, new Set(excludedServers));
  // The caller may have left, or the deadline passed, while others were asked.
  const isWanted = (): boolean =>
    !run.isEnded() && run.readState().attempts.some(({ attempt }) => attempt === reader.attempt);
  if (!isWanted()) {
    chosen?.permit.release();
    recordDecision(run.dependencies, context, 'stream not sent', { attempt: reader.attempt });
    return null;
  }
  if (!chosen) {
    refuse(run, reader, 'no server takes work');
    return null;
  }
  const { permit, servers } = chosen;
  const refusal = run.arrivals === 0 ? checkStreamStart(run, servers) : null;
  if (refusal) {
    permit.release();
    run.refuse(refusal);
    return null;
  }
  const isRepeat = run.arrivals > 0;
  if (isRepeat && !run.hasRetry && !(await lender.acquireRetry(context.service))) {
    permit.release();
    refuse(run, reader, 'no retry left');
    return null;
  }
  if (!isWanted() || refuseQuarantined(run)) {
    permit.release();
    if (isRepeat) retries.releaseRetry(context.service);
    return null;
  }
  Object.assign(run, { hasRetry: false });
  if (servers.copy) return { servers, permit, isRepeat };
  if (run.prompts >= context.route.maxAttempts) {
    permit.release();
    refuse(run, reader, 'the request went to as many servers as it may');
    return null;
  }
  Object.assign(run, { prompts: run.prompts + 1 });
  return { servers, permit, isRepeat };
};
