import type { ServerEntry } from '../../../domain/forwarding';
import type { Clock, EventLog, Randomness } from '../../ports';
import { startLoop } from '../../time';
import { createMemberList } from '../_lib/createMemberList';
import { drawSome } from '../_lib/drawSome';
import { listTableChanges } from '../_lib/listTableChanges';
import type { GossipCalls, Knowledge, Member, PassedRows, SharedSuspicion } from '../types';

/** What gossip needs. */
export interface GossipDependencies {
  readonly self: Omit<Member, 'ageMs'>;
  /** Peer addresses to begin with; some may be stale. */
  readonly seedAddresses: readonly string[];
  readonly calls: GossipCalls;
  /** Followers whose rows are passed on, by table. */
  readonly followers: ReadonlyMap<string, PassedRows>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  /** Takes a suspicion that another VM has. */
  readonly handleSuspicion: (suspicion: SharedSuspicion) => void;
  /** Takes a server without an entry that another VM met. */
  readonly handleInferred: (server: ServerEntry) => void;
}

/** Passes on what this VM knows, and learns what others know. */
export interface Gossip {
  start(): void;
  stop(): void;
  /** Takes other addresses to begin with. */
  applySeeds(addresses: readonly string[]): void;
  /** Answers another VM. */
  handleKnowledge(knowledge: Knowledge): Knowledge;
  /** Tells others of a server that failed here. */
  sendSuspicion(server: string, cause: string): void;
  /** Tells others of a server without an entry. */
  sendInferred(server: ServerEntry): void;
  /** Other VMs heard lately. */
  listMembers(): readonly Member[];
  /** VMs heard lately, this one included. */
  countVms(): number;
  /** Addresses of some other VMs heard lately, drawn at random. */
  drawAddresses(count: number): readonly string[];
}

/**
 * Time between two exchanges with a VM drawn at random. Each VM follows the store itself: what it
 * learns from others it needs only once it can't.
 */
const EXCHANGE_MS = 1500;

/** The same while the store does not answer: a change is in force within a second or two. */
const EXCHANGE_IN_OUTAGE_MS = 300;

/** News that comes within this time goes out together. */
const GATHER_MS = 50;

/**
 * A suspicion of the same server is passed on once in this time. An availability zone is lost as a
 * whole and every VM notices it: of 60 VMs that each suspect 27 servers, all messages together are
 * 10 a VM instead of 67 (see the test).
 */
const PASS_AGAIN_MS = 1000;

/**
 * Members told of in one message, 35 bytes each: all of 60 are heard of within their age. With 24 of
 * them in a message some VMs counted 27 of 60 (see the test).
 */
const MAX_MEMBERS = 64;

/** A seed is asked with this chance in each exchange, so that two halves find each other again. */
const SEED_CHANCE = 0.15;

/** What is told at once. */
type News = Pick<Knowledge, 'inferred' | 'suspicions'>;

const NO_NEWS: News = { suspicions: [], inferred: [] };

/** Creates the gossip of this VM. */
export const createGossip = (dependencies: GossipDependencies): Gossip => {
  const { calls, clock, followers, handleInferred, handleSuspicion, log, randomness, self } =
    dependencies;
  let { seedAddresses } = dependencies;
  const members = createMemberList({ self: self.vm, clock, log });
  /** By member: versions that it had when it was last heard. */
  const versionsOf = new Map<string, ReadonlyMap<string, number>>();
  /** By server: when a suspicion of it was passed on last. */
  const passedAtMs = new Map<string, number>();
  let news: News = NO_NEWS;
  let isGathering = false;
  let isStopped = false;
  let stopLoop = (): void => undefined;

  const isCutOff = (): boolean => [...followers.values()].some((one) => !one.isStoreReachable());

  const buildKnowledge = (
    versions: ReadonlyMap<string, number> | undefined,
    told: News,
  ): Knowledge => ({
    sender: { ...self, ageMs: 0 },
    members: drawSome(members.listLive(), MAX_MEMBERS, randomness),
    // Who names no version is given no rows: they come from the store, and would come twice.
    versions: new Map(
      [...followers]
        .filter(([, one]) => !one.isStoreReachable())
        .map(([table, one]) => [table, one.readVersion()]),
    ),
    changes: listTableChanges(followers, versions),
    ...told,
  });

  let tell: (gathered: News) => void = () => undefined;

  const dropOldPassed = (): void => {
    const untilMs = clock.readMonotonicMs() - PASS_AGAIN_MS;
    passedAtMs.forEach((atMs, server) => {
      if (atMs <= untilMs) passedAtMs.delete(server);
    });
  };

  /** Takes note that news of servers is told; those told within the last second stay as they are. */
  const recordPassed = (servers: readonly string[]): void => {
    const nowMs = clock.readMonotonicMs();
    servers
      .filter((server) => !passedAtMs.has(server))
      .forEach((server) => passedAtMs.set(server, nowMs));
  };

  const gather = ({ inferred, suspicions }: News): void => {
    dropOldPassed();
    const newSuspicions = suspicions.filter(({ server }) => !passedAtMs.has(server));
    const newInferred = inferred.filter(({ id }) => !passedAtMs.has(id));
    if (newSuspicions.length + newInferred.length === 0) return;
    recordPassed([
      ...newSuspicions.map(({ server }) => server),
      ...newInferred.map(({ id }) => id),
    ]);
    news = {
      suspicions: [...news.suspicions, ...newSuspicions],
      inferred: [...news.inferred, ...newInferred],
    };
    if (isGathering) return;
    isGathering = true;
    clock.startTimer(GATHER_MS, () => {
      isGathering = false;
      const gathered = news;
      news = NO_NEWS;
      if (!isStopped) tell(gathered);
    });
  };

  const mergeKnowledge = (taken: Knowledge): void => {
    members.record(taken.sender);
    taken.members.forEach(members.record);
    versionsOf.set(taken.sender.vm, taken.versions);
    taken.changes.forEach(({ after, rows, table, version }) =>
      followers.get(table)?.mergeChanges({ rows, version }, after),
    );
    taken.suspicions.forEach(handleSuspicion);
    taken.inferred.forEach(handleInferred);
    // Where all VMs are told at once, nobody needs to pass it on.
    if (members.isLarge()) gather(taken);
    else {
      dropOldPassed();
      recordPassed(taken.suspicions.map(({ server }) => server));
    }
  };

  const exchange = async (address: string, vm: string | null, told: News): Promise<void> => {
    const versions = vm === null ? undefined : versionsOf.get(vm);
    const taken = await calls.exchangeKnowledge(address, buildKnowledge(versions, told));
    if (vm !== null) members.recordCall(vm, { hasAnswered: taken !== null });
    if (taken && !isStopped) mergeKnowledge(taken);
  };

  tell = (gathered: News): void => {
    members.listPartners().forEach(({ address, vm }) => {
      exchange(address, vm, gathered);
    });
  };

  const exchangeOnce = async (): Promise<void> => {
    // One that is cut off asks any: its partners may be cut off as well.
    const [drawn] = drawSome(
      isCutOff() ? members.listLive() : members.listPartners(),
      1,
      randomness,
    );
    const seeds = seedAddresses.filter((address) => address !== self.address);
    const [seed] = drawSome(seeds, 1, randomness);
    const wantsSeed = drawn === undefined || randomness.readFraction() < SEED_CHANCE;
    if (seed !== undefined && wantsSeed) await exchange(seed, null, NO_NEWS);
    else if (drawn) await exchange(drawn.address, drawn.vm, NO_NEWS);
  };

  const computeDelayMs = (): number => {
    const baseMs = isCutOff() ? EXCHANGE_IN_OUTAGE_MS : EXCHANGE_MS;
    return baseMs * (0.75 + randomness.readFraction() / 2);
  };

  return {
    start: () => {
      seedAddresses
        .filter((address) => address !== self.address)
        .forEach((address) => {
          exchange(address, null, NO_NEWS);
        });
      stopLoop = startLoop({
        clock,
        firstDelayMs: computeDelayMs(),
        runStep: async () => {
          await exchangeOnce();
          return computeDelayMs();
        },
        handleFailure: (reason) => {
          log.error('exchange failed unexpectedly', { reason });
          return computeDelayMs();
        },
      });
    },
    stop: () => {
      isStopped = true;
      stopLoop();
    },
    applySeeds: (addresses) => {
      seedAddresses = addresses;
    },
    handleKnowledge: (taken) => {
      mergeKnowledge(taken);
      return buildKnowledge(taken.versions, NO_NEWS);
    },
    sendSuspicion: (server, cause) => {
      gather({ suspicions: [{ server, cause, ageMs: 0 }], inferred: [] });
    },
    sendInferred: (server) => gather({ suspicions: [], inferred: [server] }),
    drawAddresses: (count) =>
      drawSome(members.listLive(), count, randomness).map(({ address }) => address),
    listMembers: members.listLive,
    countVms: () => members.listLive().length + 1,
  };
};
