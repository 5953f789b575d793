import type { ForwardContext, ForwardingDependencies, Refusal } from '../../types';
import { logDecision } from '../logDecision';
import { refuseCall, sendCall, sendResponse, type CallRun } from '../sendCall';
import { startWaitLimit } from '../startWaitLimit';

/** Why a call ends before it has an answer, if its caller has not left. */
type EarlyEnd = 'deadline' | 'exit';

const REFUSALS: Readonly<Record<EarlyEnd, (hasArrived: boolean) => Refusal>> = {
  deadline: (hasArrived) => ({
    kind: hasArrived ? 'deadline-passed' : 'not-run',
    reason: 'no answer before the deadline',
    retryAfterMs: 0,
  }),
  exit: (hasArrived) => ({
    kind: hasArrived ? 'lost' : 'not-run',
    reason: 'no answer before the exit of this VM',
    retryAfterMs: 0,
  }),
};

/** Answers a call that ends early, whatever it waits for. */
const answerEarly = (
  dependencies: ForwardingDependencies,
  context: ForwardContext,
  { failedResponse, hasArrived }: CallRun,
  end: EarlyEnd,
): string => {
  if (failedResponse) {
    sendResponse(context, failedResponse);
    return 'server-error';
  }
  return refuseCall(dependencies, context, REFUSALS[end](hasArrived));
};

/**
 * Forwards a call. It is sent to further servers as long as it surely did not run or may be
 * repeated. Whatever the call waits for, it ends when its caller leaves, and is answered at its
 * deadline and before this process exits.
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
  let removeListener = (): void => undefined;
  const exited = new Promise<'exit'>((resolve) => {
    removeListener = context.addExitListener(() => resolve('exit'));
  });
  const limit = startWaitLimit(dependencies.clock, deadlineAtMs, reply.callerLeft);
  const outcome = await Promise.race([
    sendCall(dependencies, context, call),
    Promise.race([limit.ended, exited]).then((end) => {
      ended.abort();
      return end === 'left' ? 'left' : answerEarly(dependencies, context, call, end);
    }),
  ]);
  limit.cancel();
  removeListener();
  ended.abort();
  logDecision(dependencies, context, 'call ended', {
    outcome,
    goalMs: context.route.latencyGoalMs,
  });
  return outcome;
};
