import test from 'ava';
import { createPeerClient, startPeerServer } from '../../src/adapters/connect';
import { createHealthRegistry } from '../../src/application/health';
import {
  createPeerExchange,
  type PeerCalls,
  type PeerExchange,
  type PeerServices,
} from '../../src/application/peers';
import { createLoadView } from '../../src/application/routing';
import { createSystemClock } from '../../src/adapters/system';
import { createSeededRandomness } from '../../standins/fakes';
import { readOk } from '../_lib/readOk';

/** Peer addresses that cannot be connected to, as an odd entry of a list may state them. */
const ODD_ADDRESSES = [
  '',
  ' ',
  '127.0.0.1:65536',
  '127.0.0.1:1e308',
  '127.0.0.1:-1',
  '127.0.0.1:port',
  '127.0.0.256:80',
  '127.0.0.08:80',
  '::1',
  '[::1',
  'a b:1',
  'user@[:1',
  `${'['.repeat(10_000)}${']'.repeat(10_000)}:1`,
];

const noop = (): void => undefined;

const createClient = () =>
  createPeerClient({ clock: createSystemClock(), findPeerAddress: () => null });

const GENERATION = { generationId: 'g', workspace: 'w', offset: 0 };

// Guards against an address in the platform's list that makes the calls to its VM throw.
test('a call to an address that is none ends as unreachable', async (t) => {
  const client = createClient();
  t.teardown(client.close);
  await Promise.all(
    ODD_ADDRESSES.map(async (address) => {
      const read = await client.readStatus(address);
      t.is(read.isErr() && read.error.kind, 'unreachable', address);
      const target = { vm: 'vm-2', peerAddress: address };
      const attached = await client.attachGeneration(target, GENERATION);
      t.is(attached.isErr() && attached.error.kind, 'unreachable', address);
      t.false(await client.cancelGeneration(target, GENERATION));
    }),
  );
});

/** Creates the exchange of a VM that other VMs reach at an address. */
const createExchange = (vm: string, address: string, calls: PeerCalls): PeerExchange => {
  const clock = createSystemClock();
  return createPeerExchange({
    self: { vm, peerAddress: address, region: 'r', availabilityZone: 'r-1', incarnation: 1 },
    seeds: [],
    clock,
    randomness: createSeededRandomness(1),
    calls,
    versions: {
      readVersion: () => 0,
      recordPeerVersion: noop,
      readTableReadAtMs: () => null,
    },
    health: createHealthRegistry({ vm }),
    load: createLoadView({ clock }),
    crashes: { mergeOutcome: () => false },
    listServerNames: () => [],
  });
};

const unexpected = (): never => {
  throw new Error('unexpected call');
};

// Guards against VMs that end, one after the other, once their list holds a record with such an
// address: the rejected promise of a round of the exchange ended the process.
test('a VM whose list holds odd addresses exchanges news with the VMs behind them', async (t) => {
  const client = createClient();
  const other: { exchange: PeerExchange | null } = { exchange: null };
  const services: PeerServices = {
    handleNews: (news) => other.exchange?.handleNews(news) ?? unexpected(),
    generations: { findGeneration: unexpected, cancelGeneration: unexpected },
    decisions: { listDecisions: unexpected },
    readEncoded: unexpected,
    readStatus: unexpected,
    drain: unexpected,
  };
  const server = readOk(await startPeerServer({ host: '127.0.0.1', port: 0, services }));
  other.exchange = createExchange('vm-2', server.address, client);
  const heard = new Promise<void>((resolve) => {
    const calls: PeerCalls = {
      sendNews: async (address, news, options) => {
        const answer = await client.sendNews(address, news, options);
        if (answer.isOk() && address === server.address) resolve();
        return answer;
      },
    };
    const exchange = createExchange('vm-1', '127.0.0.1:1', calls);
    t.teardown(async () => {
      exchange.stop();
      client.close();
      await server.stop();
    });
    const place = { region: 'r', availabilityZone: 'r-1', leaving: false };
    exchange.recordMembers('list', [
      ...ODD_ADDRESSES.filter((address) => address !== '').map((peerAddress, index) => ({
        ...place,
        vm: `odd-${index}`,
        peerAddress,
      })),
      { ...place, vm: 'vm-2', peerAddress: server.address },
    ]);
    exchange.start();
  });
  await heard;
  t.pass();
});
