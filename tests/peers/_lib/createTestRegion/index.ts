import { toBinary } from '@bufbuild/protobuf';
import { err, ok } from 'neverthrow';
import { convertNewsToMessage } from '../../../../src/adapters/connect/convertNewsToMessage';
import { NewsSchema } from '../../../../src/adapters/connect/gen/peer_pb';
import { createHealthRegistry } from '../../../../src/application/health';
import { createPeerExchange } from '../../../../src/application/peers';
import type { SharedOutcome } from '../../../../src/domain/crashes';
import type { PeerCalls, PeerExchange } from '../../../../src/application/peers';
import type { HealthRegistry } from '../../../../src/application/ports';
import { createLoadView } from '../../../../src/application/routing';
import type { RouterLoadView } from '../../../../src/application/routing';
import type { News } from '../../../../src/domain/membership';
import { createFakeClock, createSeededRandomness } from '../../../../standins/fakes';
import type { FakeClock } from '../../../../standins/fakes';

/** A VM of a test. */
export interface TestVm {
  readonly name: string;
  readonly exchange: PeerExchange;
  /** Outcomes that other VMs told of. */
  readonly outcomes: readonly SharedOutcome[];
  readonly health: HealthRegistry;
  readonly load: RouterLoadView;
  /** State of the configuration follower, which applies an offered version at once. */
  readonly configuration: { version: number; tableReadAtMs: number | null };
}

/** VMs in one process that exchange news over a network that the test can partition. */
export interface TestRegion {
  readonly clock: FakeClock;
  readonly vms: readonly TestVm[];
  /** Starts a VM; an earlier VM of the same name becomes unreachable. */
  startVm(name: string, options: { readonly region: string; readonly seeds: string[] }): TestVm;
  /** Partitions the network into groups; null heals the partition. */
  cutNetwork(groups: readonly (readonly string[])[] | null): void;
  /** Announces all VMs to each VM, as the platform's list does. */
  announceAllVms(): void;
  /** Bytes of news sent so far in both directions, without headers. */
  countBytes(): number;
  countMessages(): number;
  /** The last news delivered to a VM. */
  readLastNews(to: string): News | null;
  stop(): void;
}

const SERVER_NAMES = Array.from({ length: 30 }, (_, index) => `engine-${index}`);

/** Creates an empty test region. */
export function createTestRegion(seed = 1): TestRegion {
  const clock = createFakeClock();
  const byAddress = new Map<string, TestVm>();
  const vms: TestVm[] = [];
  const lastNews = new Map<string, News>();
  let groups: readonly (readonly string[])[] | null = null;
  let starts = 0;
  let bytes = 0;
  let messages = 0;

  const countNews = (news: News): void => {
    bytes += toBinary(NewsSchema, convertNewsToMessage(news)).length;
    messages += 1;
  };
  const isReachable = (from: string, to: string): boolean =>
    groups === null || groups.some((group) => group.includes(from) && group.includes(to));
  const createCalls = (from: string): PeerCalls => ({
    sendNews: async (address, news) => {
      const target = byAddress.get(address);
      countNews(news);
      if (target === undefined || !isReachable(from, target.name)) {
        return err({ kind: 'unreachable', reason: 'cut' });
      }
      lastNews.set(target.name, news);
      const answer = target.exchange.handleNews(news);
      countNews(answer);
      return ok(answer);
    },
  });
  const createVm = (name: string, region: string, seeds: readonly string[]): TestVm => {
    starts += 1;
    const health = createHealthRegistry({ vm: name });
    const load = createLoadView({ clock });
    const outcomes: SharedOutcome[] = [];
    const configuration: TestVm['configuration'] = { version: 0, tableReadAtMs: null };
    const exchange = createPeerExchange({
      self: {
        vm: name,
        peerAddress: `${name}:1`,
        region,
        availabilityZone: `${region}-1`,
        incarnation: 1_700_000_000 + starts,
      },
      seeds,
      clock,
      randomness: createSeededRandomness(seed * 1_000 + starts),
      calls: createCalls(name),
      versions: {
        readVersion: () => configuration.version,
        recordPeerVersion: (version) => {
          configuration.version = version;
        },
        readTableReadAtMs: () => configuration.tableReadAtMs,
      },
      health,
      load,
      crashes: { mergeOutcome: (outcome) => outcomes.push(outcome) > 0 },
      listServerNames: () => SERVER_NAMES,
    });
    return { name, health, load, configuration, exchange, outcomes };
  };

  return {
    clock,
    vms,
    startVm: (name, { region, seeds }) => {
      const vm = createVm(name, region, seeds);
      byAddress.set(`${name}:1`, vm);
      vms.push(vm);
      vm.exchange.start();
      return vm;
    },
    cutNetwork: (next) => {
      groups = next;
    },
    announceAllVms: () => {
      const records = vms.map(({ exchange }) => {
        const [self] = exchange.listPeers();
        if (self === undefined) throw new Error('a VM always lists itself');
        const { vm, peerAddress, region, availabilityZone, leaving } = self;
        return { vm, peerAddress, region, availabilityZone, leaving };
      });
      vms.forEach(({ exchange }) => exchange.recordMembers('list', records));
    },
    countBytes: () => bytes,
    countMessages: () => messages,
    readLastNews: (to) => lastNews.get(to) ?? null,
    stop: () => vms.forEach(({ exchange }) => exchange.stop()),
  };
}
