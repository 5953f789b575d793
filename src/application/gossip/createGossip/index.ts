import type { ServerEntry, SharedOutcome } from '../../../domain/forwarding';
import type { SharedLimit } from '../../../domain/limits';
import type { RolloutVerdict } from '../../../domain/rollouts';
import { startLoop } from '../../time';
import { computeOutcomesDigest } from '../_lib/computeOutcomesDigest';
import { createMemberList } from '../_lib/createMemberList';
import { createNewsBatcher, NO_NEWS, type News } from '../_lib/createNewsBatcher';
import { drawSample } from '../_lib/drawSample';
import { listTableChanges } from '../_lib/listTableChanges';
import { logJoinedMembers } from '../_lib/logJoinedMembers';
import type { GossipDependencies, Knowledge, Member } from '../types';

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
  /** Tells others how a server fared under a request. */
  sendOutcome(outcome: SharedOutcome): void;
  /** Tells others of a verdict on a roll-out. */
  sendVerdict(verdict: RolloutVerdict): void;
  /** Tells others of a server's rate limit. */
  sendLimit(limit: SharedLimit): void;
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

/** VMs that one answer tells of at most, of those that the other does not know: 50 bytes each. */
const MAX_TOLD_MEMBERS = 400;

/** A seed is asked with this chance in each exchange, so that two halves find each other again. */
const SEED_CHANCE = 0.15;

/** Creates the gossip of this VM. */
export const createGossip = (dependencies: GossipDependencies): Gossip => {
  const {
    calls,
    clock,
    followers,
    handleInferred,
    handleSuspicion,
    limits,
    log,
    outcomes,
    randomness,
    self,
    verdicts,
  } = dependencies;
  let { seedAddresses } = dependencies;
  const members = createMemberList({ self: self.vm, clock });
  /** By member: versions that it had when it was last heard. */
  const versionsOf = new Map<string, ReadonlyMap<string, number>>();
  let isStopped = false;
  let stopLoop = (): void => undefined;

  const isCutOff = (): boolean => [...followers.values()].some((one) => !one.isStoreReachable());

  /** Who names no version is given no rows: they come from the store, and would come twice. */
  const listVersions = (): Knowledge['versions'] =>
    new Map(
      [...followers]
        .filter(([, one]) => !one.isStoreReachable())
        .map(([table, one]) => [table, one.readVersion()]),
    );

  const buildKnowledge = (
    versions: ReadonlyMap<string, number> | undefined,
    told: News,
  ): Knowledge => ({
    sender: { ...self, ageMs: 0 },
    isMembersAsked: false,
    heard: new Map(),
    versions: listVersions(),
    changes: listTableChanges(followers, versions),
    outcomesDigest: computeOutcomesDigest(outcomes.listOutcomes()),
    ...told,
    verdicts: verdicts.listVerdicts(),
    limits: limits.listLimits(),
  });

  let tell: (gathered: News) => void = () => undefined;
  const gatherer = createNewsBatcher({ clock, sendNews: (gathered) => tell(gathered) });

  const mergeKnowledge = (taken: Knowledge): void => {
    const joined = [taken.sender, ...taken.members].filter((member) => members.record(member));
    members.recordHeard(taken.heard);
    logJoinedMembers(log, taken.sender.vm, joined);
    versionsOf.set(taken.sender.vm, taken.versions);
    taken.changes.forEach(({ after, rows, table, version }) =>
      followers.get(table)?.mergeChanges({ rows, version }, after),
    );
    taken.suspicions.forEach(handleSuspicion);
    taken.inferred.forEach(handleInferred);
    // Where all VMs are told at once, nobody needs to pass it on.
    const fresh = taken.outcomes.filter(outcomes.mergeOutcome);
    const changed = taken.verdicts.filter(verdicts.mergeVerdict);
    const limited = taken.limits.filter(limits.mergeLimit);
    if (members.needsRelay()) {
      gatherer.addNews({
        ...taken,
        members: joined,
        outcomes: fresh,
        verdicts: changed,
        limits: limited,
      });
    } else gatherer.recordRelayed({ ...taken, members: [] });
  };

  const askMembers = (knowledge: Knowledge): Knowledge => ({
    ...knowledge,
    isMembersAsked: true,
    heard: members.listHeard(),
  });

  const exchange = async (address: string, vm: string | null, told: News): Promise<void> => {
    const versions = vm === null ? undefined : versionsOf.get(vm);
    const knowledge = buildKnowledge(versions, told);
    // News of servers comes by the dozen when an availability zone is lost.
    const news = [told.suspicions, told.inferred, told.outcomes, told.verdicts, told.limits];
    const sent = news.some((some) => some.length > 0) ? knowledge : askMembers(knowledge);
    const taken = await calls.exchangeKnowledge(address, sent);
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
    const [drawn] = drawSample(
      isCutOff() ? members.listLive() : members.listPartners(),
      1,
      randomness,
    );
    const seeds = seedAddresses.filter((address) => address !== self.address);
    const [seed] = drawSample(seeds, 1, randomness);
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
      gatherer.stop();
      stopLoop();
    },
    applySeeds: (addresses) => {
      seedAddresses = addresses;
    },
    handleKnowledge: (taken) => {
      mergeKnowledge(taken);
      if (!taken.isMembersAsked) return buildKnowledge(taken.versions, NO_NEWS);
      const missing = members.listMissing(taken.heard).filter(({ vm }) => vm !== taken.sender.vm);
      const told = drawSample(missing, MAX_TOLD_MEMBERS, randomness);
      const answer = buildKnowledge(taken.versions, { ...NO_NEWS, members: told });
      const isSame = answer.outcomesDigest === taken.outcomesDigest;
      return {
        ...answer,
        heard: members.listHeard(),
        outcomes: isSame ? [] : outcomes.listOutcomes(),
      };
    },
    sendSuspicion: (server, cause) => {
      gatherer.addNews({ ...NO_NEWS, suspicions: [{ server, cause, ageMs: 0 }] });
    },
    sendInferred: (server) => gatherer.addNews({ ...NO_NEWS, inferred: [server] }),
    sendOutcome: (outcome) => gatherer.addNews({ ...NO_NEWS, outcomes: [outcome] }),
    sendVerdict: (verdict) => gatherer.addNews({ ...NO_NEWS, verdicts: [verdict] }),
    sendLimit: (limit) => gatherer.addNews({ ...NO_NEWS, limits: [limit] }),
    drawAddresses: (count) =>
      drawSample(members.listLive(), count, randomness).map(({ address }) => address),
    listMembers: members.listLive,
    countVms: () => members.listLive().length + 1,
  };
};
