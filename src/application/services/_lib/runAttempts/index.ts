import { err, ok, type Result } from 'neverthrow';
import { RunState } from '../../../../domain/types';
import type { GenerationError, SlotOutcome } from '../../../ports';
import type { AttemptContext, PlainServicesDependencies } from '../../types';
import {
  buildUnreachableError,
  buildTimeoutError,
  buildBackendFailedError,
  convertRefusal,
} from '../callErrors';
import { sendAttempt, type AnsweredAttempt, type AttemptFailure } from '../sendAttempt';

/** Servers tried for one call; each further one draws on the retry budget of the routing. */
const MAX_ATTEMPTS = 3;

const OUTCOME_BY_FAILURE: Readonly<Record<AttemptFailure['kind'], SlotOutcome['outcome']>> = {
  broken: 'failed',
  cancelled: 'cancelled',
  'not-started': 'not-started',
  unclaimed: 'not-started',
};

type Judges = {
  readonly [K in AttemptFailure['kind']]: (
    failure: Extract<AttemptFailure, { kind: K }>,
    state: { readonly repeatable: boolean; readonly runState: RunState },
  ) => GenerationError | null;
};

/** What a failed attempt means for the call: its final error, or null to try another server. */
const JUDGES: Judges = {
  'not-started': () => null,
  broken: ({ reason }, { repeatable }) => (repeatable ? null : buildBackendFailedError(reason)),
  cancelled: (_failure, { runState }) => buildTimeoutError(runState),
  unclaimed: ({ error }) => error,
};

const judgeFailure = (
  failure: AttemptFailure,
  state: { readonly repeatable: boolean; readonly runState: RunState },
): GenerationError | null =>
  (JUDGES[failure.kind] as (value: AttemptFailure, s: typeof state) => GenerationError | null)(
    failure,
    state,
  );

const readReason = (failure: AttemptFailure): string =>
  'reason' in failure ? failure.reason : failure.kind;

/** Sends a call to one server after another until one answers or no more may be tried. */
export const runAttempts = async (
  dependencies: PlainServicesDependencies,
  attempts: AttemptContext,
): Promise<Result<AnsweredAttempt, GenerationError>> => {
  const { repeatable } = attempts;
  const excluded: string[] = [];
  let runState: RunState = RunState.NotRun;
  let reason = '';
  while (excluded.length < MAX_ATTEMPTS) {
    const end = await sendAttempt(dependencies, attempts, excluded, runState);
    if (end.result.isOk()) return ok(end.result.value);
    const failed = end.result.error;
    runState = end.runState;
    if (failed.kind === 'refused') return err(convertRefusal(failed.refusal, runState));
    const outcome = OUTCOME_BY_FAILURE[failed.error.kind];
    failed.slot.release({ outcome, firstTokenMs: 0, outputTokens: 0 });
    const final = judgeFailure(failed.error, { repeatable, runState });
    if (final !== null) return err(final);
    reason = readReason(failed.error);
    excluded.push(...end.servers);
  }
  return err(
    runState === RunState.NotRun ? buildUnreachableError(reason) : buildBackendFailedError(reason),
  );
};
