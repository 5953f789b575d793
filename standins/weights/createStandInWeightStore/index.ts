import { Hono } from 'hono';
import type { Clock } from '../../../src/application/ports';
import { createLoopbackServer } from '../../_lib/createLoopbackServer';
import { createSystemClock } from '../../../src/adapters/system';

/** Options of a stand-in weight store. */
export interface StandInWeightStoreOptions {
  /** 0, the default, for any free port. */
  readonly port?: number;
  /** Fetches allowed in each window. */
  readonly fetchesPerWindow?: number;
  readonly windowMs?: number;
  /** Size of each model. */
  readonly modelBytes?: number;
  readonly clock?: Clock;
}

/** A stand-in weight store in this process. */
export interface StandInWeightStore {
  readonly port: number;
  readonly url: string;
  /** Fetches that were served, as `model/version`, oldest first. */
  listFetches(): readonly string[];
  /** Fetches that were refused with 429. */
  countRefused(): number;
  stop(): Promise<void>;
}

const MS_PER_SECOND = 1000;

/** Creates a weight store that refuses fetches above its rate limit, and starts it on 127.0.0.1. */
export async function createStandInWeightStore(
  options: StandInWeightStoreOptions = {},
): Promise<StandInWeightStore> {
  const { fetchesPerWindow = 2, windowMs = 1000, modelBytes = 1024 } = options;
  const { clock = createSystemClock() } = options;
  const server = createLoopbackServer(options.port ?? 0);
  const fetches: string[] = [];
  let refused = 0;
  let windowStartMs = Number.NEGATIVE_INFINITY;
  let usedInWindow = 0;

  const takeFetch = (): boolean => {
    const nowMs = clock.readMonotonicMs();
    if (nowMs - windowStartMs >= windowMs) {
      windowStartMs = nowMs;
      usedInWindow = 0;
    }
    if (usedInWindow >= fetchesPerWindow) return false;
    usedInWindow += 1;
    return true;
  };
  const app = new Hono();
  app.get('/weights/:model/:version', (c) => {
    if (!takeFetch()) {
      refused += 1;
      const remainingMs = windowStartMs + windowMs - clock.readMonotonicMs();
      const retryAfterS = String(Math.max(1, Math.ceil(remainingMs / MS_PER_SECOND)));
      return c.body(null, 429, { 'Retry-After': retryAfterS });
    }
    fetches.push(`${c.req.param('model')}/${c.req.param('version')}`);
    return c.body(new Uint8Array(modelBytes));
  });
  app.get('/control/log', (c) => c.json({ fetches, refused }));
  await server.start(app.fetch);
  return {
    get port() {
      return server.readPort();
    },
    get url() {
      return `http://127.0.0.1:${server.readPort()}`;
    },
    listFetches: () => [...fetches],
    countRefused: () => refused,
    stop: server.stop,
  };
}
