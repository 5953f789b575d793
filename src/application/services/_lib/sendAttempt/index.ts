import { err, ok, type Result } from 'neverthrow';
import { DemandPurpose, RunState, WorkClass, type Demand } from '../../../../domain/types';
import type { GenerationError, PlainError, PlainResponse, Slot } from '../../../ports';
import { runHedged, type HedgeError } from '../../../routing';
import type { AttemptContext, PlainServicesDependencies } from '../../types';

/** An answer, and the slot that it holds until its body has ended. */
export interface AnsweredAttempt {
  readonly response: PlainResponse;
  readonly slot: Slot;
  readonly firstByteMs: number;
}

/** Why an attempt has no answer. */
export type AttemptFailure =
  PlainError | { readonly kind: 'unclaimed'; readonly error: GenerationError };

/** How an attempt ended. */
export interface AttemptEnd {
  readonly result: Result<AnsweredAttempt, HedgeError<AttemptFailure>>;
  /** Servers that it was sent to, or tried to be. */
  readonly servers: readonly string[];
  /** `unknown` if any leg may have left this machine. */
  readonly runState: RunState;
}

type Answer = Omit<AnsweredAttempt, 'slot'>;

const buildDemand = (attempts: AttemptContext, excludedServers: readonly string[]): Demand => ({
  requestId: attempts.source.call.requestId,
  workspace: attempts.source.workspace,
  service: attempts.source.service.name,
  workClass: attempts.source.service.workClass,
  purpose: excludedServers.length === 0 ? DemandPurpose.Start : DemandPurpose.Resume,
  prefixes: [],
  promptTokens: 0,
  maxOutputTokens: 0,
  excludedServers,
  deadlineMs: attempts.deadlineMs,
});

/** True if the failure proves that no byte of the call left this machine. */
const isUnsent = (failure: AttemptFailure): boolean =>
  failure.kind === 'unclaimed' ||
  failure.kind === 'not-started' ||
  (failure.kind === 'cancelled' && !failure.sent);

/**
 * Sends a call to one server, and a late repeatable lookup to a second one beside it.
 *
 * @param excludedServers - servers that failed this call before
 * @param earlier - run state that earlier attempts left behind
 */
export const sendAttempt = async (
  { client, clock, router }: PlainServicesDependencies,
  attempts: AttemptContext,
  excludedServers: readonly string[],
  earlier: RunState,
): Promise<AttemptEnd> => {
  const call = { ...attempts.source.call, repeatable: attempts.repeatable };
  const servers: string[] = [];
  let runState = earlier;

  const runLeg = async (
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Result<Answer, AttemptFailure>> => {
    servers.push(slot.server.name);
    const claimed = await attempts.acquireClaim();
    if (claimed.isErr()) return err({ kind: 'unclaimed', error: claimed.error });
    // The call may have ended while its claim was written, before the leg could follow its signal.
    if (attempts.signal.aborted) return err({ kind: 'cancelled', sent: false });
    const sentAtMs = clock.readMonotonicMs();
    const sent = await client.sendCall(slot.server, call, signal);
    if (sent.isOk()) {
      return ok({ response: sent.value, firstByteMs: clock.readMonotonicMs() - sentAtMs });
    }
    // With two legs only one failure is seen in the end: what the other one left behind counts too.
    if (!isUnsent(sent.error)) runState = RunState.Unknown;
    return err(sent.error);
  };

  const { workClass, name } = attempts.source.service;
  const hedgeDelayMs = router.estimateHedgeDelayMs(name);
  const result = await runHedged(
    { router, clock },
    {
      demand: buildDemand(attempts, excludedServers),
      mayHedge: attempts.repeatable && workClass === WorkClass.Lookup && hedgeDelayMs !== null,
      hedgeDelayMs: hedgeDelayMs ?? 0,
      signal: attempts.signal,
      runLeg,
    },
  );
  return {
    result: result.map(({ slot, value }) => ({ ...value, slot })),
    servers,
    runState,
  };
};
