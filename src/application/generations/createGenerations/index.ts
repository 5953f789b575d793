import type { GenerationFeed, Generations } from '../../ports';
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
import { openFeed } from '../_lib/openFeed';
import { resumeGeneration } from '../_lib/resumeGeneration';
import { sweepRun } from '../_lib/sweepRun';
import type { GenerationRun, GenerationsContext, GenerationsDependencies } from '../types';

/** Generations with the timer that watches them, which their owner stops. */
export interface StoppableGenerations extends Generations {
  /** Stops the timer; streams that run are left to their engines. */
  stop(): void;
  /** Resolves when the answers of all ended generations are stored, or after `boundMs`. */
  waitForPendingWrites(boundMs: number): Promise<void>;
}

/** How long a generation is kept without a caller until the first configuration says. */
const DEFAULT_DETACHED_MS = 60_000;

/**
 * Creates the generations of an entry VM: each one survives the loss of its engine, of its caller's
 * connection and of other entry VMs, as long as one copy of its tokens is left.
 *
 * @param dependencies - Ports to the engines, routing, claims, peers and the rest of this VM.
 * @returns Generations.
 */
export const createGenerations = (dependencies: GenerationsDependencies): StoppableGenerations => {
  const { clock, configuration, engineClient, health } = dependencies;
  const store = createRunStore();
  const pendingEnds = createPendingWrites(clock);
  const latencyHistory = createLatencyHistory();
  const serverActivity = createServerActivity();
  const watch = { dependencies, latencyHistory: latencyHistory, serverActivity };

  const sweep = (stalledMs: number): boolean => {
    const limits = configuration.readCurrent()?.configuration.limits;
    const detachedMs = limits?.detachedMs ?? DEFAULT_DETACHED_MS;
    const nowMs = clock.readMonotonicMs();
    store.list().forEach((run) => {
      if (!sweepRun(run, { ...watch, nowMs, stalledMs, detachedMs })) {
        store.remove(run);
      }
    });
    return store.list().length > 0;
  };
  const sweeper = createSweeper(clock, sweep);

  const context: GenerationsContext = {
    ...watch,
    cancelQueue: createCancelQueue(engineClient, health),
    store,
    pendingWrites: pendingEnds,
    addRun: (run, keyDigest) => {
      store.add(run, keyDigest);
      sweeper.start();
    },
  };
  const startClaimed = createClaimedStarter(context);

  const startPlain: Generations['startGeneration'] = (request, signal) => {
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
    startGeneration: (request, signal) =>
      request.idempotencyKey !== '' || !request.idempotent
        ? startClaimed(request, signal)
        : startPlain(request, signal),
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
    waitForPendingWrites: pendingEnds.wait,
  };
};
