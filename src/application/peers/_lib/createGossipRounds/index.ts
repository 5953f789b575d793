import { chooseGossipPartners } from '../../../../domain/membership';
import type { Fact, News, PeerRecord } from '../../../../domain/membership';
import type { Clock, Randomness } from '../../../ports';
import type { PeerCalls } from '../../types';
import type { Member, MemberTable } from '../createMemberTable';
import type { MembershipView } from '../createMembershipView';
import type { NewsReceiver, NewsWriter } from '../createNewsWriter';

/** Mean interval between two rounds. */
export const ROUND_INTERVAL_MS = 500;
const ROUND_JITTER = 0.2;
/** A partner that has not answered within this time counts as failed. */
export const EXCHANGE_TIMEOUT_MS = 400;
/** A partner that failed is skipped for this long. */
const PARTNER_BACKOFF_MS = 2_000;
/** Probability that a round tries an unreachable VM, so that a network partition heals. */
const RETRY_PROBABILITY = 0.25;
/** Mean number of exchanges with other regions in a round, over all VMs of a region. */
const CROSS_REGION_EXCHANGES = 2;
/**
 * VMs to which a new version is sent at once. Each of them forwards it to as many, so that two or
 * three steps reach 9 VMs and six reach 340. A VM that is missed learns the version in a round or
 * from the table.
 */
const VERSION_RECEIVERS = 3;
/** Receiver name for an address whose VM is unknown. */
const UNKNOWN_VM = '';

/** Dependencies of the gossip rounds. */
export interface GossipRoundsDependencies {
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly calls: PeerCalls;
  readonly members: MemberTable;
  readonly view: MembershipView;
  readonly writer: NewsWriter;
  readonly readSelf: () => PeerRecord;
  readonly readNews: (news: News) => void;
}

/** Periodic exchanges of news with other VMs. */
export interface GossipRounds {
  start(): void;
  stop(): void;
  /** Lists the VMs of the region to which facts are pushed. */
  listReachable(): readonly string[];
  /** Sends the version in force at this VM to a few VMs. */
  sendVersion(): void;
  /** Sends the given facts to one VM. */
  sendFacts(vm: string, facts: readonly Fact[]): Promise<void>;
}

/** Creates the gossip rounds. */
export function createGossipRounds(deps: GossipRoundsDependencies): GossipRounds {
  const { clock, randomness, calls, members, view, writer, readSelf } = deps;
  let stopped = false;
  let cancelTimer = (): void => {};

  const sendNews = async (peerAddress: string, news: News): Promise<boolean> => {
    const answer = await calls.sendNews(peerAddress, news, { timeoutMs: EXCHANGE_TIMEOUT_MS });
    if (stopped) return answer.isOk();
    answer.map(deps.readNews);
    return answer.isOk();
  };
  const sendToMember = async (vm: string, write: (receiver: NewsReceiver) => News) => {
    const member = members.find(vm);
    if (member === null) return;
    const hasAnswered = await sendNews(member.record.peerAddress, write(member.record));
    member.failedAtMs = hasAnswered ? null : clock.readMonotonicMs();
  };
  const exchangeWith = (vm: string): Promise<void> => sendToMember(vm, writer.writeNews);

  const isInOwnRegion = ({ record }: Member): boolean => record.region === readSelf().region;
  const chooseRandomMember = (candidates: readonly Member[]): readonly string[] => {
    const chosen = candidates[Math.floor(randomness.readFraction() * candidates.length)];
    return chosen === undefined ? [] : [chosen.record.vm];
  };
  const chooseStablePartners = (candidates: readonly Member[]): readonly string[] =>
    chooseGossipPartners(
      readSelf().vm,
      candidates.map(({ record, failedAtMs }) => ({ vm: record.vm, failedAtMs })),
      { nowMs: clock.readMonotonicMs(), backoffMs: PARTNER_BACKOFF_MS },
    );
  const isCandidate = (member: Member): boolean =>
    view.isHeard(member) || member.heardAtMs === null;
  const chooseUnreachable = (): readonly string[] => {
    if (randomness.readFraction() >= RETRY_PROBABILITY) return [];
    return chooseRandomMember(members.list().filter((member) => !view.isHeard(member)));
  };
  const chooseOtherRegion = (): readonly string[] => {
    const probability = CROSS_REGION_EXCHANGES / view.countHeardInRegion();
    if (randomness.readFraction() >= probability) return [];
    return chooseRandomMember(members.list().filter((member) => !isInOwnRegion(member)));
  };
  const sendToSeeds = (): void => {
    if (members.list().some(view.isHeard)) return;
    const receiver = { vm: UNKNOWN_VM, region: readSelf().region };
    deps.seeds
      .filter((address) => address !== readSelf().peerAddress)
      .forEach((address) => {
        sendNews(address, writer.writeBrief(receiver, []));
      });
  };

  const runRound = (): void => {
    const candidates = members
      .list()
      .filter((member) => isInOwnRegion(member) && isCandidate(member));
    const chosen = [
      ...chooseStablePartners(candidates),
      ...chooseUnreachable(),
      ...chooseOtherRegion(),
    ];
    new Set(chosen).forEach((vm) => {
      exchangeWith(vm);
    });
    sendToSeeds();
    const jitter = 1 + ROUND_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(ROUND_INTERVAL_MS * jitter, runRound);
  };

  const listReachable = (): readonly string[] =>
    members
      .list()
      .filter((member) => isInOwnRegion(member) && isCandidate(member))
      .map(({ record }) => record.vm);
  const sendFacts = (vm: string, facts: readonly Fact[]): Promise<void> =>
    sendToMember(vm, (receiver) => writer.writeBrief(receiver, facts));

  return {
    start: runRound,
    stop: () => {
      stopped = true;
      cancelTimer();
    },
    listReachable,
    sendVersion: () => {
      const order = listReachable().map((vm) => ({ vm, rank: randomness.readFraction() }));
      order
        .toSorted((first, second) => first.rank - second.rank)
        .slice(0, VERSION_RECEIVERS)
        .forEach(({ vm }) => {
          sendFacts(vm, []);
        });
    },
    sendFacts,
  };
}
