import type { Result } from 'neverthrow';
import { createServerClient, createStoreClient } from '../../../../platform';
import { createHttpEngineClient } from '../../../../src/adapters/engine';
import { createHttpPlainClient } from '../../../../src/adapters/http';
import type { Clock } from '../../../../src/application/ports';
import { buildSampleConfiguration } from '../../../../standins/fakes';
import { buildRequest } from '../../../support/createTestEntry';
import { buildTestAttempt } from '../buildTestAttempt';
import { isReadWhole } from '../isReadWhole';
import type { RawServer } from '../startRawServer';

/** Where an answer's head is read. */
export interface Place {
  readonly server: RawServer;
  readonly clock: Clock;
  /** Undoes what a reader has set up. */
  readonly addCleanup: (stop: () => Promise<unknown>) => void;
}

/** Reads an answer in one place; resolves with true if anything of it was believed. */
type Reader = (place: Place) => () => Promise<boolean>;

const isOk = async (result: Promise<Result<unknown, unknown>>): Promise<boolean> =>
  (await result).isOk();

const buildClient = ({ addCleanup, clock }: Place) => {
  const client = createServerClient({ clock });
  addCleanup(client.stop);
  return client;
};

const buildEngine = ({ addCleanup, clock, server }: Place) => {
  const engine = createHttpEngineClient({ clock });
  addCleanup(engine.close);
  const [sample] = buildSampleConfiguration().backendServers;
  if (!sample) throw new Error('no sample server');
  return { engine, entry: { ...sample, url: `http://${server.address}` } };
};

const buildAttempt = ({ server }: Place, newConnection: boolean) => ({
  ...buildTestAttempt(server.address, server.id),
  newConnection,
});

/** Sends an attempt; true if it is taken for a whole answer. */
export const sendAttempt = async (
  client: ReturnType<typeof createServerClient>,
  attempt: ReturnType<typeof buildAttempt>,
): Promise<boolean> => {
  const sent = await client.sendAttempt(attempt, new AbortController().signal);
  if (sent.isErr()) return false;
  return isReadWhole(sent.value.body);
};

const readStream = async (
  opened: ReturnType<ReturnType<typeof createHttpEngineClient>['resumeStream']>,
): Promise<boolean> => {
  const stream = await opened;
  if (stream.isErr()) return false;
  for await (const batch of stream.value.batches) if (batch.isErr()) return false;
  return true;
};

const START = {
  request: buildRequest({ body: { model: 'x', max_completion_tokens: 9 } }),
  ...{ model: 'review', adapter: '', streamId: 'gen_1.1.ab', prefixTokenIds: [], priority: 1 },
};

/** Readers of answers, by the place in which they read a head. */
export const READERS: Readonly<Record<string, Reader>> = {
  attempt: (place) => {
    const client = buildClient(place);
    return () => sendAttempt(client, buildAttempt(place, false));
  },
  'attempt on a new connection': (place) => {
    const client = buildClient(place);
    return () => sendAttempt(client, buildAttempt(place, true));
  },
  report: (place) => {
    const client = buildClient(place);
    return async () => (await client.readReport(buildAttempt(place, false).server)) !== null;
  },
  identity: (place) => {
    const client = buildClient(place);
    return async () =>
      (await client.readIdentity(buildAttempt(place, false).server, '/h')) !== null;
  },
  'identity on a new connection': (place) => {
    const client = buildClient(place);
    return async () =>
      (await client.probeIdentity(buildAttempt(place, true).server, '/h')) !== 'broken';
  },
  copy: (place) => {
    const client = buildClient(place);
    const { server } = buildAttempt(place, true);
    return () => isOk(client.copyRun(server, 'r', server, { stops: true }));
  },
  'engine stream': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => readStream(engine.startAttempt(entry, START));
  },
  'engine stream that goes on': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => readStream(engine.resumeStream(entry, 'gen_1.1.ab', 0));
  },
  'engine load': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => isOk(engine.readLoad(entry));
  },
  'engine cache': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => isOk(engine.listCacheEvents(entry, 0));
  },
  'engine health': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => isOk(engine.probe(entry));
  },
  'engine cancellation': (place) => {
    const { engine, entry } = buildEngine(place);
    return () => isOk(engine.cancelStream(entry, 'gen_1.1.ab'));
  },
  'plain service': (place) => {
    const plain = createHttpPlainClient();
    place.addCleanup(plain.stop);
    const { entry } = buildEngine(place);
    const call = {
      path: '/x',
      method: 'GET',
      headers: {},
      body: Buffer.alloc(0),
      repeatable: true,
    };
    return async () => {
      const sent = await plain.sendCall(
        entry,
        call as unknown as Parameters<typeof plain.sendCall>[1],
        new AbortController().signal,
      );
      if (sent.isErr()) return false;
      return isReadWhole(sent.value.body as AsyncIterable<Buffer>);
    };
  },
  store: (place) => {
    const store = createStoreClient(`http://${place.server.address}`, { clock: place.clock });
    place.addCleanup(store.stop);
    return () => isOk(store.readRows('op'));
  },
};

/** Readers that never use a connection again. */
export const SINGLE_USE: ReadonlySet<string> = new Set([
  'attempt on a new connection',
  'identity on a new connection',
  'copy',
  'engine stream',
  'engine stream that goes on',
]);
