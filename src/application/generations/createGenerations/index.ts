import type { GenerationFeed, Generations } from '../../ports';
import { buildGenerationId } from '../_lib/buildGenerationId';
import { buildInitialChain } from '../_lib/buildInitialChain';
import { buildRun } from '../_lib/buildRun';
import { createCancelQueue } from '../_lib/createCancelQueue';
import { createClaimedStart } from '../_lib/createClaimedStart';
import { createPaceHistory } from '../../_lib/createPaceHistory';
import { createPendingEnds } from '../_lib/createPendingEnds';
import { createRunStore } from '../_lib/createRunStore';
import { createServerActivity } from '../_lib/createServerActivity';
import { createSweeper } from '../_lib/createSweeper';
import { openFeed } from '../_lib/openFeed';
import { resumeHeld } from '../_lib/resumeHeld';
import { sweepRun } from '../_lib/sweepRun';
import type { GenerationRun, GenerationsContext, GenerationsDependencies } from '../types';

/** Generations with the timer that watches them, which their owner stops. */
export interface WatchedGenerations extends Generations {
  /** Stops the timer; streams that run are left to their engines. */
  stop(): void;
  /** Resolves when the answers of all ended generations are stored, or after `boundMs`. */
  waitForEnds(boundMs: number): Promise<void>;
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
export const createGenerations = (dependencies: GenerationsDependencies): WatchedGenerations => {
  const { clock, configuration, engineClient, health } = dependencies;
  const store = createRunStore();
  const pendingEnds = createPendingEnds(clock);
  const paces = createPaceHistory();
  const serverActivity = createServerActivity();
  const watch = { dependencies, paces, serverActivity };

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
    pendingEnds,
    addRun: (run, keyDigest) => {
      store.add(run, keyDigest);
      sweeper.start();
    },
  };
  const startClaimed = createClaimedStart(context);

  const startPlain: Generations['startGeneration'] = (request, signal) => {
    const generationId = buildGenerationId(context);
    const run = buildRun(context, {
      generationId,
      workspace: request.workspace,
      service: request.service,
      request,
      chain: buildInitialChain(request, generationId),
      missing: 0,
      prefixTokenIds: [],
      newestAttempt: 0,
      taken: null,
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
    resumeGeneration: (resume, signal) => resumeHeld(context, resume, signal),
    findGeneration: (workspace, generationId, offset): GenerationFeed | null =>
      findRun(workspace, generationId)?.attach(offset) ?? null,
    cancelGeneration: async (workspace, generationId) => {
      const run = findRun(workspace, generationId);
      run?.dispatch({ kind: 'cancelled' });
      return run !== null;
    },
    countRunning: () => store.list().filter((run) => !run.isEnded()).length,
    stop: sweeper.stop,
    waitForEnds: pendingEnds.wait,
  };
};
