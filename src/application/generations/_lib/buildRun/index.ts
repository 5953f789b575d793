import { createGenerationState } from '../../../../domain/generation';
import { SurvivalMode, type BackendServer, type GenerationRequest } from '../../../../domain/types';
import type { GenerationRun, GenerationsContext } from '../../types';
import { createAttemptHandle } from '../createAttemptHandle';
import { createRun } from '../createRun';
import { createTokenLog } from '../createTokenLog';

/** An engine's stream that goes on under a new reader. */
export interface ExistingStream {
  readonly server: BackendServer;
  readonly streamId: string;
}

/** What a run begins with. */
export interface RunStart {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  readonly request: GenerationRequest | null;
  /** Chain digest before `prefixTokenIds`. */
  readonly chain: string;
  /** Tokens before them that are not held. */
  readonly missingTokens: number;
  readonly prefixTokenIds: readonly number[];
  /** Number of the newest attempt known of. */
  readonly newestAttempt: number;
  readonly existingStream: ExistingStream | null;
  readonly keyed: boolean;
}

const EXTRA_WAIT_MS = 60_000;

/**
 * Builds a run that is ready for its `started` input.
 *
 * @param context - Generations of this VM.
 * @param start - What it begins with.
 * @returns Run; the caller holds it in the store.
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
      latencyHistory: latencyHistory,
      serverActivity,
      generationId: start.generationId,
      workspace: start.workspace,
      service: start.service,
      request,
      claim: { writer: null },
      deadlineMs: nowMs + (request?.timeoutMs ?? EXTRA_WAIT_MS),
      log: createTokenLog(start),
    },
    state,
    handle,
  );
};
