import type { StalenessLimits } from '../../../domain/forwarding';
import { chooseRowReader, type RowReaderCandidate } from '../../../domain/membership';
import type { Clock, EventLog, Randomness } from '../../ports';
import { startLoop } from '../../time';
import { validateStatements } from '../_lib/validateStatements';
import { createSourceTracker } from '../_lib/createSourceTracker';
import {
  createStatementResponder,
  type StatementResponder,
} from '../_lib/createStatementResponder';
import type { FollowerPair } from '../createFollowerPair';
import type { RowFollower, StatementsResponse, StatementsRequest } from '../types';

/** A VM that may tell what the store holds. */
export interface StoreReaderVm extends RowReaderCandidate {
  readonly address: string;
}

/** What sharing needs. */
export interface ZoneReplicationDependencies {
  readonly self: StoreReaderVm;
  /** Null: every VM follows the store itself. */
  readonly sharing: StalenessLimits | null;
  readonly pair: FollowerPair;
  /** The followers of the pair, by table. */
  readonly followers: ReadonlyMap<string, RowFollower>;
  /** Other VMs heard of lately. */
  readonly listMembers: () => readonly StoreReaderVm[];
  /** Asks a VM; null if it does not answer in time. */
  readonly requestStatements: (
    address: string,
    request: StatementsRequest,
    timeoutMs: number,
  ) => Promise<StatementsResponse | null>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Lets one VM of a zone read the store for all. */
export interface ZoneReplication extends Pick<
  StatementResponder,
  'handleAdvance' | 'handleRequest'
> {
  start(): void;
  stop(): void;
  /** Whether this VM follows the store itself. */
  isReader(): boolean;
}

/** Where a VM stands is looked at this often while it follows the store itself. */
const LOOK_MS = 250;

/** News that comes within this time comes in one answer. */
const GATHER_MS = 50;

/** While the store is away, a VM that is cut off like this one is asked so often. */
const AWAY_PAUSE_MS = 300;

/** A sound VM answers within this time once it has something to tell. */
const ANSWER_MS = 250;

/** A request whose time is up anyway still has this long. */
const MIN_ASK_MS = 150;

/** VMs whose knowledge grows stale together ask the store spread over this part of the time. */
const SPREAD_PART = 0.15;

/** Pause between calls of a VM that the store did not answer, for each VM of its zone. */
const CHECK_PAUSE_MS_PER_VM = 150;
const MIN_CHECK_PAUSE_MS = 500;

/**
 * Creates what lets one VM of an availability zone follow the store, and the others follow that VM.
 *
 * No VM is set aside: each one works out by itself whom it asks, from those that it has heard of.
 * What a VM is told has an age, which counts all delays on the way. One whose knowledge grows stale,
 * whatever the cause, asks the store itself; so a reader that dies, stands still, is cut off or tells
 * old things costs calls, never a change.
 */
export const createZoneReplication = ({
  requestStatements,
  clock,
  followers,
  listMembers,
  log,
  pair,
  randomness,
  self,
  sharing,
}: ZoneReplicationDependencies): ZoneReplication => {
  const sources = createSourceTracker(clock);
  const freshMs = sharing?.freshMs ?? Infinity;
  const staleMs = sharing?.staleMs ?? Infinity;
  const isStoreLost = (): boolean => [...followers.values()].some((one) => !one.isStoreReachable());
  const desk = createStatementResponder({
    followers,
    minGainMs: freshMs / 4,
    clock,
    isCutOff: () => sources.isCutOff(self.vm) || isStoreLost(),
  });
  let source: string | null = null;
  let nextCheckMs = -Infinity;
  let stopLoop = (): void => undefined;

  const listZone = (): readonly StoreReaderVm[] =>
    listMembers().filter(({ availabilityZone }) => availabilityZone === self.availabilityZone);

  const isReader = (): boolean => source === null || source === self.vm;

  const setSource = (next: StoreReaderVm): void => {
    pair.setFollowing(next.vm === self.vm);
    if (source === next.vm) return;
    log.info('rows source chosen', {
      source: next.vm === self.vm ? 'store' : next.vm,
      before: source ?? '',
      ageMs: Math.round(pair.readAgeMs()),
      isStoreAway: sources.isStoreUnavailable(),
    });
    source = next.vm;
  };

  const buildRequest = (waitMs: number): StatementsRequest => ({
    held: [...followers].map(([table, follower]) => ({
      table,
      version: follower.readVersion(),
      ageMs: follower.readAgeMs(),
    })),
    waitMs,
  });

  /** Takes what a VM told; returns how long to wait before the next request. */
  const takeStatements = (
    reader: StoreReaderVm,
    { heldMs, isCutOff, tables }: StatementsResponse,
    sentAtMs: number,
  ): number => {
    // Of the time that the call took, only that for which it was held is known not to be delay.
    const answeredAtMs = sentAtMs + Math.min(heldMs, clock.readMonotonicMs() - sentAtMs);
    tables.forEach((statement) =>
      followers.get(statement.table)?.mergeStatement(statement, answeredAtMs - statement.ageMs),
    );
    const ageMs = Math.max(0, ...tables.map((statement) => statement.ageMs));
    if (!isCutOff && ageMs <= freshMs + 2 * ANSWER_MS) {
      sources.recordFresh(reader.vm);
      return GATHER_MS;
    }
    log.warn('rows source stale', { source: reader.vm, isCutOff, ageMs: Math.round(ageMs) });
    sources.recordStale(reader.vm, isCutOff);
    return sources.isStoreUnavailable() ? AWAY_PAUSE_MS : GATHER_MS;
  };

  const askReader = async (reader: StoreReaderVm, leftMs: number): Promise<number> => {
    const timeoutMs = Math.min(freshMs + 2 * ANSWER_MS, Math.max(MIN_ASK_MS, leftMs));
    const request = buildRequest(Math.max(0, timeoutMs - ANSWER_MS));
    const sentAtMs = clock.readMonotonicMs();
    const answered = await requestStatements(reader.address, request, timeoutMs);
    const checked = answered && validateStatements(answered, request);
    if (checked?.isOk()) return takeStatements(reader, checked.value, sentAtMs);
    const reason = checked?.isErr() ? checked.error : 'no usable answer in time';
    const tookMs = Math.round(clock.readMonotonicMs() - sentAtMs);
    log.warn('rows source failed', { source: reader.vm, reason, tookMs });
    sources.recordFailure(reader.vm);
    return GATHER_MS;
  };

  /** Asks the store itself, as what is known has grown stale. */
  const checkStore = async (): Promise<void> => {
    const isAnswered = await pair.readOnce();
    const vms = listZone().length;
    const pauseMs = Math.max(MIN_CHECK_PAUSE_MS, vms * CHECK_PAUSE_MS_PER_VM);
    nextCheckMs = isAnswered
      ? -Infinity
      : clock.readMonotonicMs() + pauseMs * (0.75 + randomness.readFraction() / 2);
    log.info('store asked, as knowledge grew stale', { isAnswered, vms });
  };

  /** Whether to wait for the first tables, which each VM reads itself, and for news of the zone. */
  const isTooSoon = (): boolean => {
    const versions = [...followers.values()].map((follower) => follower.readVersion());
    if (versions.includes(0)) return true;
    return source === null && listZone().length === 0 && pair.readAgeMs() < freshMs;
  };

  /** Those that wait for news from here are told to look elsewhere. */
  const recordCutOff = (): void => {
    const isNews = !sources.isCutOff(self.vm);
    sources.recordStale(self.vm, true);
    if (isNews) desk.answerAll();
  };

  const runStep = async (): Promise<number> => {
    if (isTooSoon()) return LOOK_MS;
    // One that the store turns away follows another VM, unless it does so to all.
    const isLast = sources.isCutOff(self.vm) && !sources.isStoreUnavailable();
    const candidate = isLast ? { ...self, cores: -1 } : self;
    const reader = chooseRowReader(candidate, sources.filterUsable(listZone()));
    const wasReader = isReader();
    setSource(reader);
    if (reader.vm === self.vm) {
      if (!isStoreLost()) sources.recordFresh(self.vm);
      // At first what is known of the store is from before.
      else if (wasReader) recordCutOff();
      return LOOK_MS;
    }
    const limitMs = staleMs * (1 - SPREAD_PART * randomness.readFraction());
    if (pair.readAgeMs() >= limitMs && clock.readMonotonicMs() >= nextCheckMs) await checkStore();
    const leftMs = limitMs - pair.readAgeMs();
    return askReader(reader, leftMs > 0 ? leftMs : Infinity);
  };

  return {
    ...desk,
    start: () => {
      if (!sharing) return;
      pair.setFollowing(false);
      stopLoop = startLoop({
        clock,
        firstDelayMs: 0,
        runStep,
        handleFailure: (reason) => {
          log.error('sharing stopped unexpectedly', { reason });
          pair.setFollowing(true);
          return LOOK_MS;
        },
      });
    },
    stop: () => stopLoop(),
    isReader,
  };
};
