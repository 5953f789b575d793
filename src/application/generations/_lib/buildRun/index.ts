import { createGenerationState } from '../../../../domain/generation';
import { SurvivalMode, type BackendServer, type GenerationRequest } from '../../../../domain/types';
import type { GenerationRun, GenerationsContext } from '../../types';
import { createAttemptHandle } from '../createAttemptHandle';
import { createRun } from '../createRun';
import { createTokenLog } from '../createTokenLog';

/** A stream that an engine already runs and that this VM reads from now on. */
export interface ExistingStream {
  readonly server: BackendServer;
  readonly streamId: string;
}

/** Initial values of a run. */
export interface RunStart {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  readonly request: GenerationRequest | null;
  /** Chain digest before `prefixTokenIds`. */
  readonly chain: string;
  /** Number of tokens before `prefixTokenIds` that are not held. */
  readonly missingTokens: number;
  readonly prefixTokenIds: readonly number[];
  /** Number of the newest known attempt. */
  readonly newestAttempt: number;
  readonly existingStream: ExistingStream | null;
  readonly keyed: boolean;
}

const DEFAULT_TIMEOUT_MS = 60_000;

/**
 * Builds a run that is ready for its `started` input.
 *
 * @param context - Generations of this VM.
 * @param start - Initial values of the run.
 * @returns Run; the caller adds it to the store.
 */
export const buildRun = (context: GenerationsContext, start: RunStart): GenerationRun => {
  const { dependencies, cancelQueue, latencyHistory, serverActivity } = context;
  const { request, existingStream } = start;
  const nowMs = dependencies.clock.readMonotonicMs();
  const offset = start.missingTokens + start.prefixTokenIds.length;
  const survival = dependencies.configuration.readCurrent()?.configuration.survival;
  const state = createGenerationState(
    {
      mode: survival ?? SurvivalMode.Thrift,
      idempotent: request?.idempotent ?? false,
      keyed: start.keyed,
      continuable: request !== null && start.missingTokens === 0,
      maxOutputTokens: request?.maxOutputTokens ?? Infinity,
    },
    { offset, newestAttempt: start.newestAttempt, backendServer: existingStream?.server.name },
  );
  const handle = existingStream
    ? Object.assign(
        createAttemptHandle(
          start.newestAttempt,
          nowMs,
          latencyHistory.readInitialGaps(start.service),
        ),
        existingStream,
        { isAtEngine: true },
      )
    : null;
  return createRun(
    {
      dependencies,
      cancelQueue,
      latencyHistory,
      serverActivity,
      generationId: start.generationId,
      workspace: start.workspace,
      service: start.service,
      request,
      claim: { writer: null },
      deadlineMs: nowMs + (request?.timeoutMs ?? DEFAULT_TIMEOUT_MS),
      log: createTokenLog(start),
    },
    state,
    handle,
  );
};
