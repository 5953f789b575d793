import { MAX_FULL_MESH_VMS } from '../../../domain/membership';
import type { PeerRecord, News } from '../../../domain/membership';
import type { Clock, HealthRegistry, LoadView, Randomness } from '../../ports';
import { createFactStore } from '../_lib/createFactStore';
import { createHealthPublisher } from '../_lib/createHealthPublisher';
import { createMemberDiscovery } from '../_lib/createMemberDiscovery';
import type { MemberDiscovery } from '../_lib/createMemberDiscovery';
import { createMembershipView } from '../_lib/createMembershipView';
import type { MembershipView } from '../_lib/createMembershipView';
import { createMemberTable } from '../_lib/createMemberTable';
import { createNewsReader } from '../_lib/createNewsReader';
import { createFactMerger } from '../_lib/createFactMerger';
import { createNewsWriter } from '../_lib/createNewsWriter';
import { createEchoClock } from '../_lib/createEchoClock';
import { createLocalFacts } from '../_lib/createLocalFacts';
import { createPartnerTable } from '../_lib/createPartnerTable';
import { createFactPusher } from '../_lib/createFactPusher';
import { createGossipRounds } from '../_lib/createGossipRounds';
import type { PeerCalls, VersionSource } from '../types';

/** Change counters start at random below this, see `createFactBoard`. */
const SEQUENCE_RANGE = 2 ** 20;

/** What the exchange needs. */
export interface PeerExchangeDependencies {
  /** This VM; `incarnation` must grow with each start, for example wall time in seconds. */
  readonly self: Omit<PeerRecord, 'leaving'>;
  /** `ip:port` of peers from the settings, for a start while list and table are out of reach. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly calls: PeerCalls;
  readonly versions: VersionSource;
  /** Null at a process that routes nothing. */
  readonly health: HealthRegistry | null;
  readonly load: LoadView | null;
  /** Names of all configured backend servers. */
  readonly listServerNames: () => readonly string[];
}

/** Exchange of news with the other VMs. */
export interface PeerExchange
  extends Omit<MembershipView, 'isHeard' | 'countHeardHere' | 'countMembersHere'>, MemberDiscovery {
  /** Takes a peer's news and gives this VM's. */
  handleNews(news: News): News;
  /** Tells peers whether this VM is leaving. */
  recordOwnLeaving(leaving: boolean): void;
  /** Tells a few VMs at once of the version in force here; without it they hear in a round. */
  sendVersion(): void;
  start(): void;
  stop(): void;
}

/**
 * Creates the exchange of news with the other VMs.
 *
 * In each round this VM gives news to a few stable partners of its region and takes theirs, both
 * only what changed since the last time. Suspicions, recoveries and leaving are pushed to the whole
 * region at once. A few exchanges cross regions, with counts in place of single VMs.
 *
 * Evidence that depends on time (a VM lives; the table was read) counts from the newest own clock
 * value that the news proves it was written after. So news that lay in the buffers of a paused
 * process, or was delayed on its way, can't pass for fresh.
 */
export function createPeerExchange(deps: PeerExchangeDependencies): PeerExchange {
  const { clock, randomness, versions, health, load, self } = deps;
  const ownClock = createEchoClock({ clock, randomness });
  const { readNowMs } = ownClock;
  const startSequence = 1 + Math.floor(randomness.readFraction() * SEQUENCE_RANGE);
  const board = createFactStore(startSequence, readNowMs);
  const members = createMemberTable();
  const partners = createPartnerTable();
  let leaving = false;
  let isTaking = false;
  let stopHealthSource = (): void => {};
  const readSelf = (): PeerRecord => ({ ...self, leaving });

  const taker = createFactMerger({
    self: self.vm,
    factStore: board,
    members,
    health,
    load,
    readNowMs,
  });
  const reader = createNewsReader({
    ...deps,
    region: self.region,
    members,
    partners,
    echoClock: ownClock,
    merger: taker,
  });
  const readNewestReadAgeMs = (): number | null => {
    const times = [reader.readNewestPeerReadAtMs(), versions.readTableReadAtMs()];
    const known = times.filter((time) => time !== null);
    return known.length === 0 ? null : readNowMs() - Math.max(...known);
  };
  const view = createMembershipView({
    readSelf,
    members,
    factStore: board,
    readNowMs,
    readVersion: versions.readVersion,
    readNewestReadAgeMs,
  });
  const writer = createNewsWriter({
    readSelf,
    factStore: board,
    partners,
    localFacts: createLocalFacts({ factStore: board, load, readSelf, readNowMs }),
    echoClock: ownClock,
    versions,
    readNewestReadAgeMs,
    countHeardInRegion: view.countHeardInRegion,
    isFullMesh: () => view.countMembersInRegion() < MAX_FULL_MESH_VMS,
  });
  const readNews = (news: News): void => {
    // Changes that a peer's news makes must not be pushed again as if this VM had found them out.
    isTaking = true;
    deps.listServerNames().forEach(taker.addServerName);
    reader.readNews(news);
    isTaking = false;
  };
  const rounds = createGossipRounds({ ...deps, members, view, writer, readSelf, readNews });
  const pusher = createFactPusher({
    clock,
    listReceivers: rounds.listReachable,
    sendFacts: rounds.sendFacts,
  });

  return {
    ...view,
    ...createMemberDiscovery({ self: self.vm, clock, factStore: board, members, partners }),
    handleNews: (news) => {
      readNews(news);
      const receiver = news.sender;
      return news.brief ? writer.writeBrief(receiver, []) : writer.writeNews(receiver);
    },
    recordOwnLeaving: (isLeaving) => {
      leaving = isLeaving;
      pusher.pushFact({ kind: 'peer', record: readSelf() });
    },
    sendVersion: rounds.sendVersion,
    start: () => {
      if (health !== null) {
        const { pushFact } = pusher;
        stopHealthSource = createHealthPublisher({
          self: self.vm,
          factStore: board,
          health,
          isMerging: () => isTaking,
          pushFact: pushFact,
        });
      }
      rounds.start();
    },
    stop: () => {
      rounds.stop();
      pusher.stop();
      stopHealthSource();
    },
  };
}
