import { createGenerationState } from '../../../../domain/generation';
import { SurvivalMode, type BackendServer, type GenerationRequest } from '../../../../domain/types';
import type { GenerationRun, GenerationsContext } from '../../types';
import { createAttemptHandle } from '../createAttemptHandle';
import { createRun } from '../createRun';
import { createTokenLog } from '../createTokenLog';

/** An engine's stream that goes on under a new reader. */
export interface TakenStream {
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
  readonly missing: number;
  readonly prefixTokenIds: readonly number[];
  /** Number of the newest attempt known of. */
  readonly newestAttempt: number;
  readonly taken: TakenStream | null;
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
  const { dependencies, cancelQueue, paces, serverActivity } = context;
  const { request, taken } = start;
  const nowMs = dependencies.clock.readMonotonicMs();
  const offset = start.missing + start.prefixTokenIds.length;
  const survival = dependencies.configuration.readCurrent()?.configuration.survival;
  const state = createGenerationState(
    {
      mode: survival ?? SurvivalMode.Thrift,
      idempotent: request?.idempotent ?? false,
      keyed: start.keyed,
      continuable: request !== null && start.missing === 0,
      maxOutputTokens: request?.maxOutputTokens ?? Infinity,
    },
    { offset, newestAttempt: start.newestAttempt, backendServer: taken?.server.name },
  );
  const handle = taken
    ? Object.assign(
        createAttemptHandle(start.newestAttempt, nowMs, paces.readInitialGaps(start.service)),
        taken,
        { isAtEngine: true },
      )
    : null;
  return createRun(
    {
      dependencies,
      cancelQueue,
      paces,
      serverActivity,
      generationId: start.generationId,
      workspace: start.workspace,
      service: start.service,
      request,
      claim: { keeper: null },
      deadlineMs: nowMs + (request?.timeoutMs ?? EXTRA_WAIT_MS),
      log: createTokenLog(start),
    },
    state,
    handle,
  );
};
