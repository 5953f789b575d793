import type { SharedOutcome } from '../../../domain/crashes';
import type { ServerEntry } from '../../../domain/forwarding';
import type { SharedLimit } from '../../../domain/limits';
import type { RolloutVerdict } from '../../../domain/rollouts';
import { computeNameId } from '../../../domain/membership';
import { startLoop } from '../../time';
import { computeExchangeDelayMs } from '../_lib/computeExchangeDelayMs';
import { computeOutcomesDigest } from '../_lib/computeOutcomesDigest';
import { createMemberList } from '../_lib/createMemberList';
import { addAges, createNewsBatcher, NO_NEWS, type News } from '../_lib/createNewsBatcher';
import { createTransitTracker } from '../_lib/createTransitTracker';
import { drawSample } from '../../_lib/drawSample';
import { listTableChanges } from '../_lib/listTableChanges';
import { logJoinedMembers } from '../_lib/logJoinedMembers';
import type { GossipDependencies, Knowledge, Member } from '../types';

/** Gossip with the other VMs of the deployment. */
export interface Gossip {
  start(): void;
  stop(): void;
  /** Exchanges with another VM now, as this one may be behind. */
  askNow(): void;
  /** Replaces the seed addresses. */
  applySeeds(addresses: readonly string[]): void;
  /** Merges a message of another VM and builds the response. */
  handleKnowledge(knowledge: Knowledge): Knowledge;
  /** Sends the suspicion of a server that failed at this VM. */
  sendSuspicion(server: string, cause: string): void;
  /** Sends a server that was found without an entry. */
  sendInferred(server: ServerEntry): void;
  /** Sends whether a server crashed or answered while it ran a suspected request. */
  sendOutcome(outcome: SharedOutcome): void;
  /** Sends a verdict on a roll-out. */
  sendVerdict(verdict: RolloutVerdict): void;
  /** Sends the rate limit of a server. */
  sendLimit(limit: SharedLimit): void;
  /** Lists the other VMs heard of recently. */
  listMembers(): readonly Member[];
  /** Counts the VMs heard of recently, including this one. */
  countVms(): number;
  /** Draws the addresses of some other VMs heard of recently at random. */
  drawAddresses(count: number): readonly string[];
}

/** Most members listed in one response, of those that the other VM lacks; 50 bytes each. */
const MAX_MEMBERS_PER_MESSAGE = 400;

/** Probability that an exchange goes to a seed, so that a partitioned fleet rejoins. */
const SEED_PROBABILITY = 0.15;

/** Creates the gossip participant of this VM. */
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
  const ownId = computeNameId(self.vm);
  const members = createMemberList({ self: self.vm, clock });
  const transit = createTransitTracker({ clock, randomness });
  /** Table versions in the last message of each VM. */
  const versionsByVm = new Map<string, ReadonlyMap<string, number>>();
  let isStopped = false;
  let stopLoop = (): void => undefined;

  const isCutOff = (): boolean => [...followers.values()].some((one) => !one.isStoreReachable());

  /**
   * Lists the versions of the tables that this VM cannot read from the store. For other tables no
   * version is sent, so that no rows are returned: they already come from the store.
   */
  const listVersions = (): Knowledge['versions'] =>
    new Map(
      [...followers]
        .filter(([, one]) => !one.isStoreReachable())
        .map(([table, one]) => [table, one.readVersion()]),
    );

  const buildKnowledge = (
    versions: ReadonlyMap<string, number> | undefined,
    news: News,
  ): Knowledge => ({
    sender: { ...self, ageMs: 0 },
    sent: transit.buildSendingTime(),
    isMembersAsked: false,
    heard: new Map(),
    versions: listVersions(),
    changes: listTableChanges(followers, versions),
    outcomesDigest: 0,
    tallies: [],
    ...news,
    verdicts: verdicts.listVerdicts(),
    limits: limits.listLimits(),
  });

  let sendToPartners: (batch: News) => void = () => undefined;
  const batcher = createNewsBatcher({ clock, sendNews: (batch) => sendToPartners(batch) });

  const mergeKnowledge = (message: Knowledge): void => {
    const lateMs = transit.recordMessage(message.sender.vm, message.sent);
    // Members are left as they are: a VM that was late is alive.
    const received = { ...message, ...addAges(message, lateMs), members: message.members };
    const joined = [received.sender, ...received.members].filter((member) =>
      members.record(member),
    );
    members.recordHeard(received.heard);
    logJoinedMembers(log, received.sender.vm, joined);
    versionsByVm.set(received.sender.vm, received.versions);
    received.changes.forEach(({ after, rows, table, version }) =>
      followers.get(table)?.mergeChanges({ rows, version }, after),
    );
    received.suspicions.forEach(handleSuspicion);
    received.inferred.forEach(handleInferred);
    // In a small fleet the sender reaches all VMs itself, so that nothing is relayed.
    const newOutcomes = received.outcomes.filter(outcomes.mergeOutcome);
    outcomes.mergeTallies(received.tallies, ownId);
    const newVerdicts = received.verdicts.filter(verdicts.mergeVerdict);
    const newLimits = received.limits.filter(limits.mergeLimit);
    if (members.needsRelay()) {
      batcher.addNews({
        ...received,
        members: joined,
        outcomes: newOutcomes,
        verdicts: newVerdicts,
        limits: newLimits,
      });
    } else batcher.recordRelayed({ ...received, members: [] });
  };

  const requestMembers = (knowledge: Knowledge): Knowledge => ({
    ...knowledge,
    isMembersAsked: true,
    heard: members.listHeard(),
    outcomesDigest: computeOutcomesDigest(outcomes.listOutcomes()),
    tallies: outcomes.listTallies(ownId),
  });

  const exchange = async (address: string, vm: string | null, news: News): Promise<void> => {
    const versions = vm === null ? undefined : versionsByVm.get(vm);
    const knowledge = buildKnowledge(versions, news);
    // News of servers comes by the dozen when a zone fails: such messages do not request members.
    const lists = [news.suspicions, news.inferred, news.outcomes, news.verdicts, news.limits];
    const sent = lists.some((list) => list.length > 0) ? knowledge : requestMembers(knowledge);
    const received = await calls.exchangeKnowledge(address, sent);
    if (vm !== null) members.recordCall(vm, { hasAnswered: received !== null });
    if (received && !isStopped) mergeKnowledge(received);
  };

  sendToPartners = (batch: News): void => {
    members.listPartners().forEach(({ address, vm }) => {
      exchange(address, vm, batch);
    });
  };

  const exchangeOnce = async (): Promise<void> => {
    // A VM that is cut off from the store asks any VM: its partners may be cut off as well.
    const [drawn] = drawSample(
      isCutOff() ? members.listLive() : members.listPartners(),
      1,
      randomness,
    );
    const seeds = seedAddresses.filter((address) => address !== self.address);
    const [seed] = drawSample(seeds, 1, randomness);
    const isSeedChosen = drawn === undefined || randomness.readFraction() < SEED_PROBABILITY;
    if (seed !== undefined && isSeedChosen) await exchange(seed, null, NO_NEWS);
    else if (drawn) await exchange(drawn.address, drawn.vm, NO_NEWS);
  };

  const computeDelayMs = (): number =>
    computeExchangeDelayMs({ isCutOff: isCutOff(), fraction: randomness.readFraction() });

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
          log.error('gossip exchange failed unexpectedly', { reason });
          return computeDelayMs();
        },
      });
    },
    stop: () => {
      isStopped = true;
      batcher.stop();
      stopLoop();
    },
    askNow: () => {
      if (isStopped) return;
      exchangeOnce().catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('gossip exchange failed unexpectedly', { reason });
      });
    },
    applySeeds: (addresses) => {
      seedAddresses = addresses;
    },
    handleKnowledge: (received) => {
      mergeKnowledge(received);
      if (!received.isMembersAsked) return buildKnowledge(received.versions, NO_NEWS);
      const missing = members
        .listMissing(received.heard)
        .filter(({ vm }) => vm !== received.sender.vm);
      const told = drawSample(missing, MAX_MEMBERS_PER_MESSAGE, randomness);
      const answer = buildKnowledge(received.versions, { ...NO_NEWS, members: told });
      const listed = outcomes.listOutcomes();
      const isSame = computeOutcomesDigest(listed) === received.outcomesDigest;
      return {
        ...answer,
        heard: members.listHeard(),
        tallies: outcomes.listTallies(ownId),
        outcomes: isSame ? [] : listed,
      };
    },
    sendSuspicion: (server, cause) => {
      batcher.addNews({ ...NO_NEWS, suspicions: [{ server, cause, ageMs: 0 }] });
    },
    sendInferred: (server) => batcher.addNews({ ...NO_NEWS, inferred: [server] }),
    sendOutcome: (outcome) => batcher.addNews({ ...NO_NEWS, outcomes: [outcome] }),
    sendVerdict: (verdict) => batcher.addNews({ ...NO_NEWS, verdicts: [verdict] }),
    sendLimit: (limit) => batcher.addNews({ ...NO_NEWS, limits: [limit] }),
    drawAddresses: (count) =>
      drawSample(members.listLive(), count, randomness).map(({ address }) => address),
    listMembers: members.listLive,
    countVms: () => members.listLive().length + 1,
  };
};
