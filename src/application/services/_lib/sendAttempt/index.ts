import { err, ok, type Result } from 'neverthrow';
import { DemandPurpose, RunState, WorkClass, type Demand } from '../../../../domain/types';
import type { GenerationError, PlainError, PlainResponse, Slot } from '../../../ports';
import { runHedged, type HedgeError } from '../../../routing';
import type { AttemptContext, PlainServicesDependencies } from '../../types';

/** An answer and its slot, which stays in use until the body has ended. */
export interface AnsweredAttempt {
  readonly response: PlainResponse;
  readonly slot: Slot;
  readonly firstByteMs: number;
}

/** Reason why an attempt has no answer. */
export type AttemptFailure =
  PlainError | { readonly kind: 'unclaimed'; readonly error: GenerationError };

/** Outcome of an attempt. */
export interface AttemptEnd {
  readonly result: Result<AnsweredAttempt, HedgeError<AttemptFailure>>;
  /** Servers of all its legs, including those that the call did not reach. */
  readonly servers: readonly string[];
  /** `unknown` if any leg may have been sent. */
  readonly runState: RunState;
}

type Answer = Omit<AnsweredAttempt, 'slot'>;

const buildDemand = (context: AttemptContext, excludedServers: readonly string[]): Demand => ({
  requestId: context.source.call.requestId,
  workspace: context.source.workspace,
  service: context.source.service.name,
  workClass: context.source.service.workClass,
  purpose: excludedServers.length === 0 ? DemandPurpose.Start : DemandPurpose.Resume,
  prefixes: [],
  promptTokens: 0,
  maxOutputTokens: 0,
  excludedServers,
  deadlineMs: context.deadlineMs,
});

/** True if the failure proves that no byte of the call was sent. */
const isUnsent = (failure: AttemptFailure): boolean =>
  failure.kind === 'unclaimed' ||
  failure.kind === 'not-started' ||
  (failure.kind === 'cancelled' && !failure.sent);

/**
 * Sends a call to one server; a repeatable lookup that is late is hedged on a second server.
 *
 * @param excludedServers - servers that failed this call before
 * @param earlierRunState - run state after the earlier attempts
 */
export const sendAttempt = async (
  { client, clock, router }: PlainServicesDependencies,
  context: AttemptContext,
  excludedServers: readonly string[],
  earlierRunState: RunState,
): Promise<AttemptEnd> => {
  const call = { ...context.source.call, repeatable: context.repeatable };
  const servers: string[] = [];
  let runState = earlierRunState;

  const runLeg = async (
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Result<Answer, AttemptFailure>> => {
    servers.push(slot.server.name);
    const claimed = await context.acquireClaim();
    if (claimed.isErr()) return err({ kind: 'unclaimed', error: claimed.error });
    // The call may have been aborted while its claim was written: it must not be sent then.
    if (context.signal.aborted) return err({ kind: 'cancelled', sent: false });
    const sentAtMs = clock.readMonotonicMs();
    const sent = await client.sendCall(slot.server, call, signal);
    if (sent.isOk()) {
      return ok({ response: sent.value, firstByteMs: clock.readMonotonicMs() - sentAtMs });
    }
    // Only one failure of two legs is returned, but each leg counts for the run state.
    if (!isUnsent(sent.error)) runState = RunState.Unknown;
    return err(sent.error);
  };

  const { workClass, name } = context.source.service;
  const hedgeDelayMs = router.estimateHedgeDelayMs(name);
  const result = await runHedged(
    { router, clock },
    {
      demand: buildDemand(context, excludedServers),
      mayHedge: context.repeatable && workClass === WorkClass.Lookup && hedgeDelayMs !== null,
      hedgeDelayMs: hedgeDelayMs ?? 0,
      signal: context.signal,
      runLeg,
    },
  );
  return {
    result: result.map(({ slot, value }) => ({ ...value, slot })),
    servers,
    runState,
  };
};
