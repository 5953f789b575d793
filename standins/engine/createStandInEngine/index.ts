import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import type { Clock, Randomness } from '../../../src/application/ports';
import { createLoopbackServer } from '../../_lib/createLoopbackServer';
import { createSystemClock, createSystemRandomness } from '../../../src/adapters/system';
import { buildControlRoutes } from '../_lib/buildControlRoutes';
import { buildEngineRoutes } from '../_lib/buildEngineRoutes';
import { createEngineCore, type EngineCore } from '../_lib/createEngineCore';
import { createFaultSwitch } from '../_lib/createFaultSwitch';
import {
  DEFAULT_ENGINE_SETTINGS,
  FaultKind,
  type EngineSettings,
  type StandInEngine,
} from '../types';

/** Options of a stand-in engine: settings that differ from the default, and what it depends on. */
export interface StandInEngineOptions extends Partial<EngineSettings> {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  /** Called first by a kill; a process ends itself here. */
  readonly handleKill?: () => void;
}

/**
 * Creates a model engine that serves the engine protocol on 127.0.0.1, and starts it.
 *
 * Each token's text names its position and a digest over the prompt and all tokens before it, so
 * that `checkChain` finds a missing, repeated or foreign one. Faults come only when asked for, by
 * the methods or by `POST /control/…`.
 *
 * @example
 * const engine = await createStandInEngine({ slots: 2, gapMs: 5 });
 * engine.addPlannedFault({ fault: 'kill', at: 40, streamId: '' });
 */
export async function createStandInEngine(
  options: StandInEngineOptions = {},
): Promise<StandInEngine> {
  const { clock = createSystemClock(), randomness = createSystemRandomness() } = options;
  const settings: EngineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...options };
  const server = createLoopbackServer(settings.port);
  const parts: { core?: EngineCore } = {};
  let stopped: Promise<void> | null = null;
  const faults = createFaultSwitch({
    readCore: () => parts.core as EngineCore,
    destroyConnections: server.destroyConnections,
    kill: () => {
      options.handleKill?.();
      parts.core?.clear();
      stopped ??= server.stop();
    },
  });
  const core = createEngineCore(settings, { clock, randomness }, faults);
  parts.core = core;

  const engine: StandInEngine = {
    name: settings.name,
    get port() {
      return server.readPort();
    },
    get url() {
      return `http://127.0.0.1:${server.readPort()}`;
    },
    applyFault: faults.applyFault,
    addPlannedFault: faults.addPlannedFault,
    updateSlowness: core.scheduler.updateSlowness,
    dropAnswers: faults.dropAnswers,
    restart: async () => {
      if (stopped === null) return;
      await stopped;
      stopped = null;
      faults.applyFault(FaultKind.Unfreeze);
      await server.restart();
    },
    listAttempts: core.store.listAttempts,
    waitForTokens: (count, streamId = '') => core.waitForTokens(count, streamId),
    stop: async () => {
      faults.applyFault(FaultKind.Kill);
      // Requests that a freeze holds back end now.
      faults.applyFault(FaultKind.Unfreeze);
      await stopped;
    },
  };
  const app = new Hono<{ Bindings: HttpBindings }>();
  app.route('/control', buildControlRoutes(engine));
  app.route('/', buildEngineRoutes({ core, faults }));
  await server.start(app.fetch);
  return engine;
}
