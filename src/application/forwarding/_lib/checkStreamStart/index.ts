import {
  computeRetryAfterMs,
  decideStreamAdmission,
  hasTimeForPrefill,
  type StreamAdmission,
} from '../../../../domain/forwarding';
import type { Refusal, StreamRun, StreamPlacement } from '../../types';
import { buildPaceReader } from '../buildPaceReader';
import { estimateRunPrefill } from '../estimateRunPrefill';
import { logDecision } from '../logDecision';

/** Decides whether a new stream is admitted; returns the refusal, or null. */
export const checkStreamStart = (run: StreamRun, placement: StreamPlacement): Refusal | null => {
  const { context, dependencies, overload } = run;
  const { isPromptCached, isFree, predictedMs } = placement;
  const { latencyGoalMs } = context.route;
  const leftMs = context.deadlineAtMs - dependencies.clock.readMonotonicMs();
  const draw = dependencies.randomness.readFraction();
  const overloadMs = overload.readOverloadMs(context.service);
  const decide = (): StreamAdmission => {
    // A caller that has part of the response waits for the rest: late is better than refused.
    const hasBegun = context.request.lastEventId !== null;
    if (predictedMs === null || isPromptCached || hasBegun) {
      const prefillMs = estimateRunPrefill(run).ownMs;
      const readPace = buildPaceReader(
        dependencies.serverPaces,
        context.service,
        'prefillMsPerToken',
      );
      const slowness = readPace?.(placement.server).slowness ?? 1;
      const hasTime =
        isPromptCached || hasTimeForPrefill({ leftMs, latencyGoalMs, prefillMs, slowness });
      if (hasTime) return { kind: 'send' };
      const reason = 'the prompt takes longer to process than the time left';
      const returnMs = computeRetryAfterMs({ waitMs: 0, outageMs: overloadMs, leftMs, draw });
      return { kind: 'refuse', reason, returnMs };
    }
    return decideStreamAdmission({
      predictedMs,
      isFree,
      latencyGoalMs,
      leftMs,
      isReturning: context.isReturning,
      overloadMs,
      draw,
    });
  };
  const decision = decide();
  overload.recordAdmission(context.service, decision.kind === 'send');
  if (decision.kind === 'send') return null;
  const { reason, returnMs } = decision;
  logDecision(
    dependencies,
    context,
    'stream refused',
    {
      reason,
      ...placement.estimate,
      isFree,
      predictedMs: Math.round(predictedMs ?? -1),
      leftMs: Math.round(leftMs),
      overloadMs: Math.round(overloadMs),
      isReturning: context.isReturning,
      returnMs,
    },
    placement.server,
  );
  return { kind: 'not-run', reason, retryAfterMs: returnMs };
};
