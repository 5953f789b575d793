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

/** Limit of the servers tried for one call; each one after the first spends retry budget. */
const MAX_ATTEMPTS = 3;

const OUTCOME_BY_FAILURE: Readonly<Record<AttemptFailure['kind'], SlotOutcome['outcome']>> = {
  broken: 'failed',
  cancelled: 'cancelled',
  'not-started': 'not-started',
  unclaimed: 'not-started',
};

type FailureHandlers = {
  readonly [K in AttemptFailure['kind']]: (
    failure: Extract<AttemptFailure, { kind: K }>,
    state: { readonly repeatable: boolean; readonly runState: RunState },
  ) => GenerationError | null;
};

/** Handlers that return the final error of the call, or null to try another server. */
const FAILURE_HANDLERS: FailureHandlers = {
  'not-started': () => null,
  broken: ({ reason }, { repeatable }) => (repeatable ? null : buildBackendFailedError(reason)),
  cancelled: (_failure, { runState }) => buildTimeoutError(runState),
  unclaimed: ({ error }) => error,
};

const computeFinalError = (
  failure: AttemptFailure,
  state: { readonly repeatable: boolean; readonly runState: RunState },
): GenerationError | null =>
  (
    FAILURE_HANDLERS[failure.kind] as (
      value: AttemptFailure,
      s: typeof state,
    ) => GenerationError | null
  )(failure, state);

const describeFailure = (failure: AttemptFailure): string =>
  'reason' in failure ? failure.reason : failure.kind;

/** Sends a call to one server after another until one answers or no further attempt is allowed. */
export const runAttempts = async (
  dependencies: PlainServicesDependencies,
  context: AttemptContext,
): Promise<Result<AnsweredAttempt, GenerationError>> => {
  const { repeatable } = context;
  const excludedServers: string[] = [];
  let runState: RunState = RunState.NotRun;
  let reason = '';
  while (excludedServers.length < MAX_ATTEMPTS) {
    const end = await sendAttempt(dependencies, context, excludedServers, runState);
    if (end.result.isOk()) return ok(end.result.value);
    const failure = end.result.error;
    runState = end.runState;
    if (failure.kind === 'refused') return err(convertRefusal(failure.refusal, runState));
    const outcome = OUTCOME_BY_FAILURE[failure.error.kind];
    failure.slot.release({ outcome, firstTokenMs: 0, outputTokens: 0 });
    const finalError = computeFinalError(failure.error, { repeatable, runState });
    if (finalError !== null) return err(finalError);
    reason = describeFailure(failure.error);
    excludedServers.push(...end.servers);
  }
  return err(
    runState === RunState.NotRun ? buildUnreachableError(reason) : buildBackendFailedError(reason),
  );
};
