import type { GenerationEffect, ReaderId } from '../../../../domain/generation';
import { computeRoomWaitMs } from '../../../../domain/limits';
import { RefusalCode, type Refusal as RoutingRefusal } from '../../../../domain/types';
import type { ServerPermit } from '../../../limits';
import type { Refusal, Retry, StreamRun, StreamPlacement } from '../../types';
import { checkStreamStart } from '../checkStreamStart';
import { chooseStreamPlacement } from '../chooseStreamPlacement';
import { findCopyHolder } from '../findCopyHolder';
import { isRunScheduled } from '../isRunScheduled';
import { askForPlacement } from '../askForPlacement';
import { hasPromptLeft } from '../hasPromptLeft';
import { skipRateLimited } from '../skipRateLimited';
import { logDecision } from '../logDecision';
import { refuseUnlessTrial } from '../refuseUnlessTrial';

/** The effect that opens an attempt. */
export type OpenAttemptEffect = Extract<GenerationEffect, { kind: 'open-attempt' }>;

/** An attempt that may be sent. */
export interface PreparedAttempt {
  readonly placement: StreamPlacement;
  readonly permit: ServerPermit;
  /** Null if the attempt is the first one to reach a server. */
  readonly retry: Retry | null;
}

/**
 * Minimum retry time of a caller that got no server: by then a crashed server is back or known to
 * be gone.
 */
const RETRY_AFTER_MS = 300;

const MAX_SERVERS_REASON = 'the request was sent to the maximum number of servers';

const HELD_REASON = 'servers were lost under the request';

/** Interval at which a stream that lost its servers asks whether it may be sent on. */
const HELD_RETRY_MS = 250;

/** Maximum number of servers that are skipped because of their rate limit. */
const MAX_RATE_LIMITED = 6;

/**
 * A stream that reached a server before waits here for the first free server; the caller of a new
 * stream retries later.
 */
const computeRetryAfterMs = ({ arrivals, context, dependencies }: StreamRun): number =>
  arrivals.countSent() > 0
    ? RETRY_AFTER_MS
    : Math.max(RETRY_AFTER_MS, dependencies.directory.readShortestPauseMs(context.service));

const refuse = (
  run: StreamRun,
  reader: ReaderId,
  message: string,
  {
    code = RefusalCode.NoReadyServer,
    retryAfterMs = computeRetryAfterMs(run),
  }: Partial<Pick<RoutingRefusal, 'code' | 'retryAfterMs'>> = {},
): void => run.dispatch({ kind: 'slot-refused', reader, refusal: { code, message, retryAfterMs } });

/** A placement whose server grants a permit now. */
type PermittedPlacement = Pick<PreparedAttempt, 'permit' | 'placement'>;

/** Options of the choice of a placement. */
interface ChoiceOptions {
  readonly excludedIds: ReadonlySet<string>;
  readonly isStillNeeded: () => boolean;
}

/** True if the scheduler chooses the server: the attempt prefills the prompt of a new answer. */
const isPlacedByScheduler = (run: StreamRun): boolean =>
  run.readState().offset === 0 &&
  run.context.request.lastEventId === null &&
  isRunScheduled(run) &&
  !findCopyHolder(run);

/** Chooses a placement; null if no server takes work, or none is needed any more. */
const choosePlacement = async (
  run: StreamRun,
  options: ChoiceOptions,
): Promise<StreamPlacement | Refusal | null> => {
  if (!isPlacedByScheduler(run)) return chooseStreamPlacement(run, options.excludedIds);
  const asked = await askForPlacement(run, options);
  if (asked.kind === 'placed') return asked.placement;
  if (asked.kind === 'refused') return asked.refusal;
  return asked.kind === 'cancelled' ? null : chooseStreamPlacement(run, options.excludedIds);
};

/** Chooses a placement whose server grants a permit now; null if there is none. */
const choosePermitted = async (
  run: StreamRun,
  { excludedIds, isStillNeeded }: ChoiceOptions,
): Promise<PermittedPlacement | Refusal | null> => {
  const { permits } = run.dependencies;
  const rateLimitedIds = new Set<string>();
  while (rateLimitedIds.size < MAX_RATE_LIMITED) {
    run.context.steps.enterStep('placement');
    const placement = await choosePlacement(run, {
      excludedIds: new Set([...excludedIds, ...rateLimitedIds]),
      isStillNeeded,
    });
    if (!placement || 'reason' in placement) return placement;
    const { id } = placement.server;
    const leftMs = run.context.deadlineAtMs - run.dependencies.clock.readMonotonicMs();
    const { latencyGoalMs } = run.context.route;
    const waitMs = computeRoomWaitMs({ leftMs, waitedMs: 0, latencyGoalMs });
    run.context.steps.enterStep('permit');
    const permit = await permits.acquirePermit(id, { leftMs, waitMs });
    if (typeof permit !== 'number') return { placement, permit };
    placement.grant?.cancel();
    skipRateLimited(run.dependencies, run.context, placement.server, permit);
    rateLimitedIds.add(id);
  }
  return null;
};

const releaseUnsent = ({ permit, placement }: PermittedPlacement): void => {
  permit.release();
  placement.grant?.cancel();
};

/** Takes the retry that was reserved for the next attempt, or another one; null if none is left. */
const acquireRetry = async (run: StreamRun): Promise<Retry | null> => {
  const { reservedRetry } = run;
  Object.assign(run, { reservedRetry: null });
  return reservedRetry ?? run.dependencies.lender.acquireRetry(run.context.service);
};

/** Refuses a stream as the scheduler decided; one that reached a server before asks again later. */
const refuseByScheduler = (run: StreamRun, reader: ReaderId, refusal: Refusal): void => {
  const { reason: message, retryAfterMs } = refusal;
  logDecision(run.dependencies, run.context, 'stream refused', {
    reason: message,
    returnMs: retryAfterMs,
    isReturning: run.context.isReturning,
    scheduled: true,
  });
  if (run.arrivals.countSent() === 0) run.refuse(refusal);
  else {
    const code = RefusalCode.NoReadyServer;
    run.dispatch({ kind: 'slot-refused', reader, refusal: { code, message, retryAfterMs } });
  }
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
  opening: OpenAttemptEffect,
): Promise<PreparedAttempt | null> => {
  const { excludedServers, reader } = opening;
  const { context } = run;
  // Each trial is one attempt.
  Object.assign(run, { isTrial: false });
  // The caller may have disconnected, or the deadline may have passed, while a server was chosen.
  const isStillNeeded = (): boolean =>
    !run.isEnded() && run.readState().attempts.some(({ attempt }) => attempt === reader.attempt);
  if (!hasPromptLeft(run) && !run.copy?.hasData) {
    refuse(run, reader, MAX_SERVERS_REASON, { code: RefusalCode.AttemptsUsed });
    return null;
  }
  const excludedIds = new Set(excludedServers);
  const chosen = await choosePermitted(run, { excludedIds, isStillNeeded });
  if (!isStillNeeded()) {
    if (chosen && 'permit' in chosen) releaseUnsent(chosen);
    logDecision(run.dependencies, context, 'stream not sent', { attempt: reader.attempt });
    return null;
  }
  if (!chosen) {
    refuse(run, reader, 'no server takes work');
    return null;
  }
  if (!('permit' in chosen)) {
    refuseByScheduler(run, reader, chosen);
    return null;
  }
  const { permit, placement } = chosen;
  // The scheduler has admitted a stream that it granted a server.
  const isNew = run.arrivals.countSent() === 0 && !placement.grant;
  const refusal = isNew ? checkStreamStart(run, placement) : null;
  if (refusal) {
    releaseUnsent(chosen);
    run.refuse(refusal);
    return null;
  }
  const isRepeat = run.arrivals.countSent() > 0;
  if (isRepeat) context.steps.enterStep('retry');
  const retry = isRepeat ? await acquireRetry(run) : null;
  if (isRepeat && !retry) {
    releaseUnsent(chosen);
    refuse(run, reader, 'no retry left');
    return null;
  }
  const decision = isStillNeeded() ? await refuseUnlessTrial(run) : 'refused';
  if (decision !== 'send' || !isStillNeeded()) {
    releaseUnsent(chosen);
    retry?.release();
    if (decision === 'wait') refuse(run, reader, HELD_REASON, { retryAfterMs: HELD_RETRY_MS });
    return null;
  }
  // The server may have announced meanwhile that it leaves.
  if (!run.dependencies.directory.findServing(placement.server.id)) {
    releaseUnsent(chosen);
    retry?.release();
    return prepareStreamAttempt(run, opening);
  }
  if (placement.copy) return { placement, permit, retry };
  if (!hasPromptLeft(run)) {
    releaseUnsent(chosen);
    retry?.release();
    // A server that holds a copy may be reached again.
    refuse(run, reader, MAX_SERVERS_REASON);
    return null;
  }
  Object.assign(run, { prefillAttempts: run.prefillAttempts + 1 });
  return { placement, permit, retry };
};
