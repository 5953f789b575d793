import { err, ok, type Result } from 'neverthrow';
import { DemandPurpose, RunState, WorkClass, type Demand } from '../../../../domain/types';
import type { GenerationError, PlainError, PlainResponse, Slot } from '../../../ports';
import type { PlainDependencies, ServiceCall } from '../../types';
import {
  buildNotTakenError,
  buildTimeoutError,
  buildUnknownError,
  convertRefusal,
} from '../callErrors';

/** Servers tried for one call; each further one draws on the retry budget of the routing. */
const MAX_ATTEMPTS = 3;

/** An answer, and the slot that it holds until its body has ended. */
export interface AnsweredAttempt {
  readonly response: PlainResponse;
  readonly slot: Slot;
  readonly firstByteMs: number;
}

/** One call's attempts, with what ends them. */
export interface Attempts {
  readonly source: ServiceCall;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  /** Aborts when the caller is gone or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Called once before the first byte is sent; an error ends the call unsent. */
  readonly acquireClaim: () => Promise<Result<void, GenerationError>>;
}

const buildDemand = (attempts: Attempts, excludedServers: readonly string[]): Demand => ({
  requestId: attempts.source.call.requestId,
  workspace: attempts.source.workspace,
  service: attempts.source.service.name,
  workClass: attempts.source.service.workClass ?? WorkClass.Plain,
  purpose: excludedServers.length === 0 ? DemandPurpose.Start : DemandPurpose.Resume,
  prefixes: [],
  promptTokens: 0,
  maxOutputTokens: 0,
  excludedServers,
  deadlineMs: attempts.deadlineMs,
});

/** What a failed attempt means for the call. */
interface Verdict {
  readonly runState: RunState;
  /** Null: another server may be tried. */
  readonly error: GenerationError | null;
}

type Judges = {
  readonly [K in PlainError['kind']]: (
    error: Extract<PlainError, { kind: K }>,
    attempts: Attempts,
    earlier: RunState,
  ) => Verdict;
};

// Symptom without this table: a caller is told `not-run` of a call that billed. Only `not-started`
// keeps the earlier state; everything that may have left this machine makes it `unknown`.
const JUDGES: Judges = {
  'not-started': (_error, _attempts, earlier) => ({ runState: earlier, error: null }),
  broken: (error, { repeatable }) => ({
    runState: RunState.Unknown,
    error: repeatable ? null : buildUnknownError(error.reason),
  }),
  cancelled: (error, _attempts, earlier) => {
    const runState = error.sent ? RunState.Unknown : earlier;
    return { runState, error: buildTimeoutError(runState) };
  },
};

const judgeError = (error: PlainError, attempts: Attempts, earlier: RunState): Verdict =>
  (JUDGES[error.kind] as (e: PlainError, a: Attempts, r: RunState) => Verdict)(
    error,
    attempts,
    earlier,
  );

/** Sends a call to one server after another until one answers or no more may be tried. */
export const runAttempts = async (
  dependencies: PlainDependencies,
  attempts: Attempts,
): Promise<Result<AnsweredAttempt, GenerationError>> => {
  const { client, clock, router } = dependencies;
  const call = { ...attempts.source.call, repeatable: attempts.repeatable };
  const excluded: string[] = [];
  let runState: RunState = RunState.NotRun;
  let reason = '';
  while (excluded.length < MAX_ATTEMPTS) {
    const acquired = await router.acquireSlot(buildDemand(attempts, excluded), attempts.signal);
    if (acquired.isErr()) return err(convertRefusal(acquired.error, runState));
    const slot = acquired.value;
    const claimed = await attempts.acquireClaim();
    if (claimed.isErr() || attempts.signal.aborted) {
      slot.release({ outcome: 'not-started', firstTokenMs: 0, outputTokens: 0 });
      return err(claimed.isErr() ? claimed.error : buildTimeoutError(runState));
    }
    const sentAtMs = clock.readMonotonicMs();
    const sent = await client.sendCall(slot.server, call, attempts.signal);
    const firstByteMs = clock.readMonotonicMs() - sentAtMs;
    if (sent.isOk()) return ok({ response: sent.value, slot, firstByteMs });
    const outcome = { broken: 'failed', cancelled: 'cancelled', 'not-started': 'not-started' };
    slot.release({
      outcome: outcome[sent.error.kind] as 'failed' | 'cancelled' | 'not-started',
      firstTokenMs: 0,
      outputTokens: 0,
    });
    const verdict = judgeError(sent.error, attempts, runState);
    if (verdict.error !== null) return err(verdict.error);
    runState = verdict.runState;
    reason = sent.error.kind === 'cancelled' ? 'cancelled' : sent.error.reason;
    excluded.push(slot.server.name);
  }
  return err(runState === RunState.NotRun ? buildNotTakenError(reason) : buildUnknownError(reason));
};
