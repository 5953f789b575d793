import { err } from 'neverthrow';
import type { GenerationFeed, Generations } from '../../ports';
import { buildError } from '../_lib/buildError';
import { buildGenerationId } from '../_lib/buildGenerationId';
import { buildInitialChain } from '../_lib/buildInitialChain';
import { buildRun } from '../_lib/buildRun';
import { createCancelQueue } from '../_lib/createCancelQueue';
import { createClaimedStarter } from '../_lib/createClaimedStarter';
import { createLatencyHistory } from '../../_lib/createLatencyHistory';
import { createPendingWrites } from '../_lib/createPendingWrites';
import { createRunStore } from '../_lib/createRunStore';
import { createServerActivity } from '../_lib/createServerActivity';
import { createSweeper } from '../_lib/createSweeper';
import { findCrashCause } from '../_lib/findCrashCause';
import { openFeed } from '../_lib/openFeed';
import { resumeGeneration } from '../_lib/resumeGeneration';
import { sweepRun } from '../_lib/sweepRun';
import type { GenerationRun, GenerationsContext, GenerationsDependencies } from '../types';

/** Generations with a sweep timer that their owner stops. */
export interface StoppableGenerations extends Generations {
  /** Stops the timer; running streams are neither cancelled nor detached. */
  stop(): void;
  /** Resolves when the outcomes of all ended generations are stored, or after `maxWaitMs`. */
  waitForPendingWrites(maxWaitMs: number): Promise<void>;
}

/** How long a generation is kept without a caller before a configuration is known. */
const DEFAULT_DETACHED_MS = 60_000;

/**
 * Creates the generations of an entry VM. Each one survives the loss of its engine, of its caller's
 * connection and of other entry VMs, as long as one copy of its tokens is left.
 *
 * @param dependencies - Ports to engines, router, claims, peers and other parts of this VM.
 * @returns Generations.
 */
export const createGenerations = (dependencies: GenerationsDependencies): StoppableGenerations => {
  const { clock, configuration, engineClient, health } = dependencies;
  const store = createRunStore();
  const pendingWrites = createPendingWrites(clock);
  const latencyHistory = createLatencyHistory();
  const serverActivity = createServerActivity();
  const sharedParts = { dependencies, latencyHistory, serverActivity };

  const sweep = (stalledMs: number): boolean => {
    const limits = configuration.readCurrent()?.configuration.limits;
    const detachedMs = limits?.detachedMs ?? DEFAULT_DETACHED_MS;
    const nowMs = clock.readMonotonicMs();
    store.list().forEach((run) => {
      if (!sweepRun(run, { ...sharedParts, nowMs, stalledMs, detachedMs })) {
        store.remove(run);
      }
    });
    return store.list().length > 0;
  };
  const sweeper = createSweeper(clock, sweep);

  const context: GenerationsContext = {
    ...sharedParts,
    cancelQueue: createCancelQueue(engineClient, health),
    store,
    pendingWrites,
    addRun: (run, keyDigest) => {
      store.add(run, keyDigest);
      sweeper.start();
    },
  };
  const startClaimed = createClaimedStarter(context);

  const startUnclaimed: Generations['startGeneration'] = (request, signal) => {
    const generationId = buildGenerationId(context);
    const run = buildRun(context, {
      generationId,
      workspace: request.workspace,
      service: request.service,
      request,
      chain: buildInitialChain(request, generationId),
      missingTokens: 0,
      prefixTokenIds: [],
      newestAttempt: 0,
      existingStream: null,
      keyed: false,
    });
    context.addRun(run);
    return openFeed(run, 0, signal);
  };

  const findRun = (workspace: string, generationId: string): GenerationRun | null => {
    const run = store.find(workspace, generationId);
    return run && !run.readFailure() ? run : null;
  };

  return {
    startGeneration: async (request, signal) => {
      const cause = findCrashCause(dependencies, request);
      if (cause) {
        return err(buildError('request_quarantined', { retryAfterMs: cause.remainingMs }));
      }
      return request.idempotencyKey !== '' || !request.idempotent
        ? startClaimed(request, signal)
        : startUnclaimed(request, signal);
    },
    resumeGeneration: (resume, signal) => resumeGeneration(context, resume, signal),
    findGeneration: (workspace, generationId, offset): GenerationFeed | null =>
      findRun(workspace, generationId)?.attach(offset) ?? null,
    cancelGeneration: async (workspace, generationId) => {
      const run = findRun(workspace, generationId);
      run?.dispatch({ kind: 'cancelled' });
      return run !== null;
    },
    countRunning: () => store.list().filter((run) => !run.isEnded()).length,
    stop: sweeper.stop,
    waitForPendingWrites: pendingWrites.wait,
  };
};
