import { MAX_FULL_MESH_VMS } from '../../../domain/membership';
import type { SharedOutcome } from '../../../domain/crashes';
import type { PeerRecord, News } from '../../../domain/membership';
import type { CrashHistory } from '../../crashes';
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
import { createCrashFacts } from '../_lib/createCrashFacts';
import { createFactPusher, type FactPusher } from '../_lib/createFactPusher';
import { createGossipRounds } from '../_lib/createGossipRounds';
import type { PeerCalls, VersionSource } from '../types';

/** Exclusive upper bound of the random start of the change counter, see `createFactStore`. */
const START_SEQUENCE_RANGE = 2 ** 20;

/** Dependencies of the exchange. */
export interface PeerExchangeDependencies {
  /** This VM; `incarnation` must grow with each start, for example wall time in seconds. */
  readonly self: Omit<PeerRecord, 'leaving'>;
  /** `ip:port` of peers from the settings, for a start while list and table are unavailable. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly calls: PeerCalls;
  readonly versions: VersionSource;
  /** Null in a process that routes no requests. */
  readonly health: HealthRegistry | null;
  readonly load: LoadView | null;
  /** Null in a process that runs no requests. */
  readonly crashes: Pick<CrashHistory, 'mergeOutcome'> | null;
  /** Lists the names of all configured backend servers. */
  readonly listServerNames: () => readonly string[];
}

/** Exchange of news with the other VMs. */
export interface PeerExchange
  extends
    Omit<MembershipView, 'isHeard' | 'countHeardInRegion' | 'countMembersInRegion'>,
    MemberDiscovery {
  /** Processes a peer's news and returns this VM's news. */
  handleNews(news: News): News;
  /** Records and announces whether this VM is leaving. */
  recordOwnLeaving(leaving: boolean): void;
  /** Tells the region how an engine fared under a request that may crash engines. */
  sendOutcome(outcome: SharedOutcome): void;
  /** Sends the version in force at this VM to a few VMs at once, ahead of the next round. */
  sendVersion(): void;
  start(): void;
  stop(): void;
}

/**
 * Creates the exchange of news with the other VMs.
 *
 * In each round this VM exchanges news with a few stable partners of its region; both sides send
 * only changes since the last exchange. Suspicions, recoveries and leaving servers are pushed to
 * the whole region at once. A few exchanges cross regions, with counts in place of single VMs.
 *
 * Evidence that depends on time (a VM is alive, the table was read) is dated by the newest echoed
 * value of this VM's clock, which proves that the news was written after it. So news that lay in
 * the buffers of a paused process, or was delayed on its way, cannot count as fresh.
 */
export function createPeerExchange(deps: PeerExchangeDependencies): PeerExchange {
  const { clock, crashes, randomness, versions, health, load, self } = deps;
  const echoClock = createEchoClock({ clock, randomness });
  const { readNowMs } = echoClock;
  const startSequence = 1 + Math.floor(randomness.readFraction() * START_SEQUENCE_RANGE);
  const factStore = createFactStore(startSequence, readNowMs);
  const members = createMemberTable();
  const partners = createPartnerTable();
  let leaving = false;
  let isMerging = false;
  let stopHealthPublisher = (): void => {};
  const readSelf = (): PeerRecord => ({ ...self, leaving });

  // The pusher is created last, as it sends what the other parts have.
  let pushFact: FactPusher['pushFact'] = () => undefined;
  const crashFacts = createCrashFacts({
    self: self.vm,
    factStore,
    mergeOutcome: crashes?.mergeOutcome ?? null,
    pushFact: (fact) => pushFact(fact),
  });
  const merger = createFactMerger({
    self: self.vm,
    factStore,
    members,
    health,
    load,
    readNowMs,
    mergeCrash: crashFacts.mergeFact,
  });
  const reader = createNewsReader({
    ...deps,
    region: self.region,
    members,
    partners,
    echoClock,
    merger,
  });
  const readNewestReadAgeMs = (): number | null => {
    const times = [reader.readNewestPeerReadAtMs(), versions.readTableReadAtMs()];
    const known = times.filter((time) => time !== null);
    return known.length === 0 ? null : readNowMs() - Math.max(...known);
  };
  const view = createMembershipView({
    readSelf,
    members,
    factStore,
    readNowMs,
    readVersion: versions.readVersion,
    readNewestReadAgeMs,
  });
  const writer = createNewsWriter({
    readSelf,
    factStore,
    partners,
    localFacts: createLocalFacts({ factStore, load, readSelf, readNowMs }),
    echoClock,
    versions,
    readNewestReadAgeMs,
    countHeardInRegion: view.countHeardInRegion,
    isFullMesh: () => view.countMembersInRegion() < MAX_FULL_MESH_VMS,
  });
  const readNews = (news: News): void => {
    // Health changes caused by a peer's news must not be pushed as if this VM had detected them.
    isMerging = true;
    deps.listServerNames().forEach(merger.addServerName);
    reader.readNews(news);
    isMerging = false;
  };
  const rounds = createGossipRounds({ ...deps, members, view, writer, readSelf, readNews });
  const pusher = createFactPusher({
    clock,
    listReceivers: rounds.listReachable,
    sendFacts: rounds.sendFacts,
  });
  pushFact = pusher.pushFact;

  return {
    ...view,
    ...createMemberDiscovery({ self: self.vm, clock, factStore, members, partners }),
    handleNews: (news) => {
      readNews(news);
      const receiver = news.sender;
      return news.brief ? writer.writeBrief(receiver, []) : writer.writeNews(receiver);
    },
    recordOwnLeaving: (isLeaving) => {
      leaving = isLeaving;
      pusher.pushFact({ kind: 'peer', record: readSelf() });
    },
    sendOutcome: crashFacts.publishOutcome,
    sendVersion: rounds.sendVersion,
    start: () => {
      if (health !== null) {
        stopHealthPublisher = createHealthPublisher({
          self: self.vm,
          factStore,
          health,
          isMerging: () => isMerging,
          pushFact,
        });
      }
      rounds.start();
    },
    stop: () => {
      rounds.stop();
      pusher.stop();
      stopHealthPublisher();
    },
  };
}
