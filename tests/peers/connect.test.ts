import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createPeerClient, startPeerServer } from '../../src/adapters/connect';
import type { PeerServices } from '../../src/application/peers';
import type { GenerationEvent } from '../../src/application/ports';
import type { Fact, News } from '../../src/domain/membership';
import { readOk } from '../_lib/readOk';

const ORDERED_FACTS: readonly Fact[] = [
  {
    kind: 'peer',
    record: {
      vm: 'vm-2',
      peerAddress: '10.0.0.2:7000',
      region: 'gt',
      availabilityZone: 'gt-1',
      leaving: true,
      incarnation: 1_700_000_000,
    },
  },
  { kind: 'pulse', id: 4_294_967_295, incarnationTag: 255, beats: 70_000 },
  { kind: 'region', region: 'cy', heard: 110, ageMs: 20 },
  {
    kind: 'suspicion',
    suspicion: { backendServer: 'e-1', cause: 'reset', confirmed: true, vm: 'vm-1', epoch: 4 },
  },
  { kind: 'leaving', backendServer: 'e-2' },
  {
    kind: 'server-state',
    backendServer: 'e-1',
    slots: 8,
    models: [{ model: 'review', version: '3', adapter: '' }],
    role: 'serve',
    leaving: false,
    fencingToken: 12,
  },
  {
    kind: 'load',
    id: 7,
    sequence: 9,
    running: 3,
    waiting: 1,
    cacheUsePermille: 333,
    tokensPerSecond: 400,
    ageMs: 250,
  },
  { kind: 'send', id: 7, running: 2 },
  {
    kind: 'crash',
    fingerprint: 'f',
    requestId: 'r-1',
    server: 'e-1 s-1',
    hasCrashed: true,
    isConfirmed: true,
    ranMs: 60,
    ageMs: 5,
  },
  { kind: 'recovery', backendServer: 'e-3' },
];

const NEWS: News = {
  sender: {
    vm: 'vm-1',
    peerAddress: '10.0.0.1:7000',
    region: 'gt',
    availabilityZone: 'gt-1',
    leaving: false,
    incarnation: 1_700_000_001,
  },
  beats: 3,
  sequence: 12,
  since: 4,
  acknowledged: 9,
  configurationVersion: 5,
  newestReadAgeMs: 0,
  clockMs: 123_456,
  echoClockMs: 77,
  brief: false,
  facts: ORDERED_FACTS,
};

const TOKENS: GenerationEvent = {
  kind: 'tokens',
  batch: { offset: 2, tokenIds: [5, 6], text: 'ab', finishReason: null },
  cursor: {
    generationId: 'gen_1',
    workspace: 'sello',
    service: 'review',
    attempt: 1,
    streamId: 'gen_1.1.x',
    backendServer: 'e-1',
    vm: 'vm-1',
    offset: 4,
    chain: 'c4',
  },
};

const FAILED: GenerationEvent = {
  kind: 'failed',
  error: { code: 'x', message: 'm', status: 503, runState: 'not-run', retryAfterMs: 10 },
};

const createServices = (): PeerServices => ({
  handleNews: (news) => news,
  generations: {
    findGeneration: (_workspace, generationId) =>
      generationId === 'gen_1'
        ? {
            generationId,
            events: (async function* listEvents() {
              yield TOKENS;
              yield FAILED;
            })(),
            detach: () => {},
          }
        : null,
    cancelGeneration: async (_workspace, generationId) => generationId === 'gen_1',
  },
  decisions: { listDecisions: () => [] },
  readEncoded: (newerThan) => (newerThan < 3 ? { version: 3, body: '{}' } : null),
  readStatus: () => ({ vm: 'vm-1' }),
  drain: () => 2,
});

const startPair = async (t: ExecutionContext) => {
  const services = createServices();
  const server = readOk(await startPeerServer({ host: '127.0.0.1', port: 0, services }));
  const client = createPeerClient({
    findPeerAddress: () => server.address,
    clock: {
      readWallMs: () => 0,
      readMonotonicMs: () => 0,
      readIdleMs: () => 0,
      startTimer: () => () => {},
    },
  });
  t.teardown(async () => {
    client.close();
    await server.stop();
  });
  return { client, address: server.address };
};

test('facts of every kind survive the round trip unchanged', async (t) => {
  const { client, address } = await startPair(t);
  const answer = await client.sendNews(address, NEWS, { timeoutMs: 2_000 });
  t.deepEqual(readOk(answer), NEWS);
});

test('a generation is streamed to its end; an unknown one gives not-held', async (t) => {
  const { client, address } = await startPair(t);
  const target = { vm: 'vm-1', peerAddress: address };
  const generation = { generationId: 'gen_1', workspace: 'sello', offset: 2 };
  const feed = readOk(await client.attachGeneration(target, generation));
  const events: GenerationEvent[] = [];
  for await (const event of feed.events) events.push(event);
  t.deepEqual(events, [TOKENS, FAILED]);
  const other = await client.attachGeneration(target, { ...generation, generationId: 'gen_2' });
  t.is(
    other.match(
      () => null,
      ({ kind }) => kind,
    ),
    'not-held',
  );
  t.true(await client.cancelGeneration(target, generation));
});

test('status, configuration and drain are served; a closed port is unreachable', async (t) => {
  const { client, address } = await startPair(t);
  t.deepEqual(readOk(await client.readStatus(address)), { vm: 'vm-1' });
  t.deepEqual(readOk(await client.readConfiguration(address, 2)), { version: 3, body: '{}' });
  t.is(readOk(await client.readConfiguration(address, 3)), null);
  t.is(readOk(await client.drainVm(address)), 2);
  const dead = await client.readStatus('127.0.0.1:1');
  t.is(
    dead.match(
      () => null,
      ({ kind }) => kind,
    ),
    'unreachable',
  );
});
