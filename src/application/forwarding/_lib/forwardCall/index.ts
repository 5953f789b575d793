import type { ForwardContext, ForwardingDependencies } from '../../types';
import { logDecision } from '../logDecision';
import { refuseCall, sendCall, sendResponse, type CallRun } from '../sendCall';
import { startWaitLimit } from '../startWaitLimit';

/** Answers a call whose time is over, whatever it waits for. */
const answerAtDeadline = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  { failedResponse, hasArrived }: CallRun,
): string => {
  if (failedResponse) {
    sendResponse(context, failedResponse);
    return 'server-error';
  }
  return refuseCall(dependencies, context, {
    kind: hasArrived ? 'deadline-passed' : 'not-run',
    reason: 'no answer before the deadline',
    retryAfterMs: 0,
  });
};

/**
 * Forwards a call. It is sent to further servers as long as it surely did not run or may be
 * repeated. Whatever the call waits for, it ends when its caller leaves, and is answered at its
 * deadline.
 *
 * @returns the outcome, for the metrics
 */
export const forwardCall = async (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
): Promise<string> => {
  const { deadlineAtMs, reply } = context;
  const ended = new AbortController();
  const call: CallRun = { hasArrived: false, failedResponse: null, ended: ended.signal };
  const limit = startWaitLimit(dependencies.clock, deadlineAtMs, reply.callerLeft);
  const outcome = await Promise.race([
    sendCall(dependencies, context, call),
    limit.ended.then((end) => {
      ended.abort();
      return end === 'left' ? 'left' : answerAtDeadline(dependencies, context, call);
    }),
  ]);
  limit.cancel();
  ended.abort();
  logDecision(dependencies, context, 'call ended', {
    outcome,
    goalMs: context.route.latencyGoalMs,
  });
  return outcome;
};
