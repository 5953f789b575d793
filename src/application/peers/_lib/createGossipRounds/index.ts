import { chooseGossipPartners } from '../../../../domain/membership';
import type { Fact, News, PeerRecord } from '../../../../domain/membership';
import type { Clock, Randomness } from '../../../ports';
import type { PeerCalls } from '../../types';
import type { Member, MemberTable } from '../createMemberTable';
import type { MembershipView } from '../createMembershipView';
import type { NewsReceiver, NewsWriter } from '../createNewsWriter';

/** Mean time between two rounds. */
export const ROUND_MS = 500;
const ROUND_JITTER = 0.2;
/** A partner that has not answered by then counts as failed. */
export const EXCHANGE_TIMEOUT_MS = 400;
/** A partner that failed is left alone for this long. */
const PARTNER_BACKOFF_MS = 2_000;
/** In each round, one VM out of reach is tried with this probability, so that a split heals. */
const RETRY_PROBABILITY = 0.25;
/** Exchanges a round from one region to others, over all its VMs. */
const CROSS_REGION_EXCHANGES = 2;
/**
 * VMs that are told of a new version at once. Each of them tells as many, so that two or three steps
 * reach 9 VMs and six reach 340; whom none reaches hears it in a round or finds it in the table.
 */
const VERSION_RECEIVERS = 3;
/** Receiver of news to an address of which nothing else is known. */
const UNKNOWN_VM = '';

/** What the rounds need. */
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

/** Exchanges news in rounds. */
export interface GossipRounds {
  start(): void;
  stop(): void;
  /** VMs of the region to which a push goes. */
  listReachable(): readonly string[];
  /** Tells a few VMs of the version in force here. */
  sendVersion(): void;
  /** Sends single facts to one VM. */
  sendFacts(vm: string, facts: readonly Fact[]): Promise<void>;
}

/** Creates the rounds. */
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
    const isAnswered = await sendNews(member.record.peerAddress, write(member.record));
    member.failedAtMs = isAnswered ? null : clock.readMonotonicMs();
  };
  const exchangeWith = (vm: string): Promise<void> => sendToMember(vm, writer.writeNews);

  const isHere = ({ record }: Member): boolean => record.region === readSelf().region;
  const chooseRandom = (candidates: readonly Member[]): readonly string[] => {
    const chosen = candidates[Math.floor(randomness.readFraction() * candidates.length)];
    return chosen === undefined ? [] : [chosen.record.vm];
  };
  const chooseStable = (candidates: readonly Member[]): readonly string[] =>
    chooseGossipPartners(
      readSelf().vm,
      candidates.map(({ record, failedAtMs }) => ({ vm: record.vm, failedAtMs })),
      { nowMs: clock.readMonotonicMs(), backoffMs: PARTNER_BACKOFF_MS },
    );
  const isWorthTrying = (member: Member): boolean =>
    view.isHeard(member) || member.heardAtMs === null;
  const chooseUnheard = (): readonly string[] => {
    if (randomness.readFraction() >= RETRY_PROBABILITY) return [];
    return chooseRandom(members.list().filter((member) => !view.isHeard(member)));
  };
  const chooseElsewhere = (): readonly string[] => {
    const probability = CROSS_REGION_EXCHANGES / view.countHeardInRegion();
    if (randomness.readFraction() >= probability) return [];
    return chooseRandom(members.list().filter((member) => !isHere(member)));
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
    const candidates = members.list().filter((member) => isHere(member) && isWorthTrying(member));
    const chosen = [...chooseStable(candidates), ...chooseUnheard(), ...chooseElsewhere()];
    new Set(chosen).forEach((vm) => {
      exchangeWith(vm);
    });
    sendToSeeds();
    const jitter = 1 + ROUND_JITTER * (2 * randomness.readFraction() - 1);
    cancelTimer = clock.startTimer(ROUND_MS * jitter, runRound);
  };

  const listReachable = (): readonly string[] =>
    members
      .list()
      .filter((member) => isHere(member) && isWorthTrying(member))
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
