import { setTimeout as wait } from 'node:timers/promises';
import type { EngineClient, EngineStream } from '../../../../../src/application/ports';
import type { BackendServer } from '../../../../../src/domain/types';

/** Delays the batches of a stream by the one-way network delay. */
async function* delayBatches(
  batches: EngineStream['batches'],
  oneWayMs: number,
): EngineStream['batches'] extends AsyncIterable<infer T> ? AsyncGenerator<T> : never {
  // Delaying the first batch is enough: it shifts all later batches by the same time.
  await wait(oneWayMs);
  yield* batches;
}

/**
 * Creates an engine client of one zone: calls to other zones take one network round trip longer.
 */
export function createDelayedEngines(
  engines: EngineClient,
  zone: string,
  zoneRoundTripMs: number,
): EngineClient {
  const readOneWayMs = (server: BackendServer): number =>
    server.availabilityZone === zone ? 0 : zoneRoundTripMs / 2;
  const delay = async <T>(server: BackendServer, call: () => Promise<T>): Promise<T> => {
    const oneWayMs = readOneWayMs(server);
    if (oneWayMs > 0) await wait(oneWayMs * 2);
    return call();
  };
  return {
    ...engines,
    startAttempt: async (server, start) => {
      const oneWayMs = readOneWayMs(server);
      if (oneWayMs === 0) return engines.startAttempt(server, start);
      await wait(oneWayMs);
      const stream = await engines.startAttempt(server, start);
      return stream.map((value) => ({ ...value, batches: delayBatches(value.batches, oneWayMs) }));
    },
    readLoad: (server) => delay(server, () => engines.readLoad(server)),
    listCacheEvents: (server, after) => delay(server, () => engines.listCacheEvents(server, after)),
  };
}
