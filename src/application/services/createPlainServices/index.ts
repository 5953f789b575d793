import { err, ok, type Result } from 'neverthrow';
import { isRetryableCall } from '../../../domain/request';
import { ClaimState, RunState, type ClaimRow } from '../../../domain/types';
import type { GenerationError } from '../../ports';
import type { PlainServicesDependencies, ServiceAnswer, ServiceCall } from '../types';
import { acquireCallClaim } from '../_lib/acquireCallClaim';
import { computeRunState } from '../_lib/computeRunState';
import { readEarlierRunState } from '../_lib/readEarlierRunState';
import { runAttempts } from '../_lib/runAttempts';
import type { AnsweredAttempt } from '../_lib/sendAttempt';

/** Calls to plain services. */
export interface PlainServices {
  /** Routes a call and returns the answer as soon as its headers arrive. */
  callService(
    source: ServiceCall,
    signal: AbortSignal,
  ): Promise<Result<ServiceAnswer, GenerationError>>;
}

/** Streams the body and releases the slot when it ends. */
async function* streamBody({ firstByteMs, response, slot }: AnsweredAttempt) {
  let outcome: 'failed' | 'finished' = 'failed';
  try {
    yield* response.body;
    outcome = 'finished';
  } finally {
    slot.release({ outcome, firstTokenMs: firstByteMs, outputTokens: 0 });
  }
}

const CLAIM_STATE_BY_RUN_STATE: Readonly<Record<RunState, ClaimState>> = {
  [RunState.NotRun]: ClaimState.Failed,
  [RunState.Ran]: ClaimState.Finished,
  [RunState.Unknown]: ClaimState.Running,
};

/**
 * Creates the calls to plain services.
 *
 * A call that may run only once is claimed in the table of the platform before its first byte is
 * sent. After that byte it is never sent again, whatever the error.
 */
export const createPlainServices = (dependencies: PlainServicesDependencies): PlainServices => {
  const { claims, clock, log } = dependencies;

  /** Updates the claim; if the write fails, it stays `running` and repeats get `unknown`. */
  const recordRunState = async (row: ClaimRow | null, runState: RunState): Promise<void> => {
    if (row === null || runState === RunState.Unknown) return;
    const updated = await claims.updateClaim(row, { state: CLAIM_STATE_BY_RUN_STATE[runState] });
    if (updated.isErr()) log.warn('claim not updated', { requestId: row.generationId, runState });
  };

  const callService: PlainServices['callService'] = async (source, callerSignal) => {
    const deadline = new AbortController();
    const cancelTimer = clock.startTimer(source.timeoutMs, () => deadline.abort());
    let row: ClaimRow | null = null;
    let wasClaimAttempted = false;
    const repeatable = isRetryableCall({
      method: source.call.method,
      serviceIdempotent: source.service.idempotent,
      callerIdempotent: source.idempotent,
      idempotencyKey: source.idempotencyKey,
    });
    const answered = await runAttempts(dependencies, {
      source,
      repeatable,
      deadlineMs: clock.readMonotonicMs() + source.timeoutMs,
      signal: AbortSignal.any([callerSignal, deadline.signal]),
      acquireClaim: async () => {
        if (repeatable || row !== null) return ok(undefined);
        wasClaimAttempted = true;
        const claimed = await acquireCallClaim(claims, source);
        if (claimed.isErr()) return err(claimed.error);
        row = claimed.value;
        return ok(undefined);
      },
    });
    cancelTimer();
    if (answered.isErr()) {
      const { error } = answered;
      await recordRunState(row, error.runState);
      if (repeatable || wasClaimAttempted) return err(error);
      return err({ ...error, runState: await readEarlierRunState(claims, source) });
    }
    const runState = computeRunState(answered.value.response);
    const claimUpdate = recordRunState(row, runState);
    // A caller that gets `not-run` may repeat at once: the claim must be updated before the answer.
    if (runState === RunState.NotRun) await claimUpdate;
    const body = streamBody(answered.value);
    return ok({ response: { ...answered.value.response, body }, runState });
  };

  return { callService };
};
