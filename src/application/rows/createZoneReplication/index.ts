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

/** A VM that may read the store for its availability zone. */
export interface StoreReaderVm extends RowReaderCandidate {
  readonly address: string;
}

/** Dependencies of the zone replication. */
export interface ZoneReplicationDependencies {
  readonly self: StoreReaderVm;
  /** Age limits of copied rows; null: every VM follows the store itself. */
  readonly sharing: StalenessLimits | null;
  readonly pair: FollowerPair;
  /** The followers of the pair, by table. */
  readonly followers: ReadonlyMap<string, RowFollower>;
  /** Lists the other VMs heard of recently. */
  readonly listMembers: () => readonly StoreReaderVm[];
  /** Sends a request to a VM; null if it does not answer in time. */
  readonly requestStatements: (
    address: string,
    request: StatementsRequest,
    timeoutMs: number,
  ) => Promise<StatementsResponse | null>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Lets one VM of an availability zone read the store for all VMs of the zone. */
export interface ZoneReplication extends Pick<
  StatementResponder,
  'handleUpdate' | 'handleRequest'
> {
  start(): void;
  stop(): void;
  /** Whether this VM follows the store itself. */
  isReader(): boolean;
}

/** Interval at which a VM that follows the store itself checks whether it is still the reader. */
const ROLE_CHECK_MS = 250;

/** Pause between requests, so that changes within this time arrive in one response. */
const BATCH_PAUSE_MS = 50;

/** Pause between requests to a VM that is cut off as well while the store is unavailable. */
const OUTAGE_PAUSE_MS = 300;

/** Time within which a healthy VM responds once it has newer rows. */
const RESPONSE_MS = 250;

/** Shortest timeout of a request, also when the rows are about to become stale. */
const MIN_REQUEST_MS = 150;

/** Part of the staleness limit over which VMs spread their own reads of the store. */
const STALE_JITTER = 0.15;

/** Pause between a VM's own reads after a failed one, for each VM of its zone. */
const READ_PAUSE_MS_PER_VM = 150;
const MIN_READ_PAUSE_MS = 500;

/**
 * Creates the zone replication: one VM of an availability zone follows the store, and the other VMs
 * copy its rows.
 *
 * No VM is appointed: each VM chooses its reader from the members that it knows. Copied rows carry
 * an age that includes all delays on the way. A VM whose rows become stale, whatever the cause,
 * reads the store itself. So a reader that dies, stalls, is cut off or sends old rows costs calls,
 * but no change is lost.
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
  const responder = createStatementResponder({
    followers,
    minGainMs: freshMs / 4,
    clock,
    isCutOff: () => sources.isCutOff(self.vm) || isStoreLost(),
  });
  let source: string | null = null;
  let nextReadMs = -Infinity;
  let stopLoop = (): void => undefined;

  const listZoneVms = (): readonly StoreReaderVm[] =>
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

  /** Merges a VM's statements; returns the pause before the next request. */
  const mergeStatements = (
    reader: StoreReaderVm,
    { heldMs, isCutOff, tables }: StatementsResponse,
    sentAtMs: number,
  ): number => {
    // Only the held time is known to lie before the response; the rest may be network delay.
    const answeredAtMs = sentAtMs + Math.min(heldMs, clock.readMonotonicMs() - sentAtMs);
    tables.forEach((statement) =>
      followers.get(statement.table)?.mergeStatement(statement, answeredAtMs - statement.ageMs),
    );
    const ageMs = Math.max(0, ...tables.map((statement) => statement.ageMs));
    if (!isCutOff && ageMs <= freshMs + 2 * RESPONSE_MS) {
      sources.recordFresh(reader.vm);
      return BATCH_PAUSE_MS;
    }
    log.warn('rows source stale', { source: reader.vm, isCutOff, ageMs: Math.round(ageMs) });
    sources.recordStale(reader.vm, isCutOff);
    return sources.isStoreUnavailable() ? OUTAGE_PAUSE_MS : BATCH_PAUSE_MS;
  };

  const followReader = async (reader: StoreReaderVm, leftMs: number): Promise<number> => {
    const timeoutMs = Math.min(freshMs + 2 * RESPONSE_MS, Math.max(MIN_REQUEST_MS, leftMs));
    const request = buildRequest(Math.max(0, timeoutMs - RESPONSE_MS));
    const sentAtMs = clock.readMonotonicMs();
    const answered = await requestStatements(reader.address, request, timeoutMs);
    const checked = answered && validateStatements(answered, request);
    if (checked?.isOk()) return mergeStatements(reader, checked.value, sentAtMs);
    const reason = checked?.isErr() ? checked.error : 'no response in time';
    const tookMs = Math.round(clock.readMonotonicMs() - sentAtMs);
    log.warn('rows source failed', { source: reader.vm, reason, tookMs });
    sources.recordFailure(reader.vm);
    return BATCH_PAUSE_MS;
  };

  /** Reads the store itself, since the copied rows have become stale. */
  const readStore = async (): Promise<void> => {
    const isAnswered = await pair.readOnce();
    const vms = listZoneVms().length;
    const pauseMs = Math.max(MIN_READ_PAUSE_MS, vms * READ_PAUSE_MS_PER_VM);
    nextReadMs = isAnswered
      ? -Infinity
      : clock.readMonotonicMs() + pauseMs * (0.75 + randomness.readFraction() / 2);
    log.info('store asked, as knowledge grew stale', { isAnswered, vms });
  };

  /**
   * Whether to wait for the first read, which each VM makes itself, and for members of the zone.
   */
  const mustWait = (): boolean => {
    const versions = [...followers.values()].map((follower) => follower.readVersion());
    if (versions.includes(0)) return true;
    return source === null && listZoneVms().length === 0 && pair.readAgeMs() < freshMs;
  };

  /** Records that this VM is cut off, and tells waiting VMs so that they choose another reader. */
  const recordCutOff = (): void => {
    const isFirst = !sources.isCutOff(self.vm);
    sources.recordStale(self.vm, true);
    if (isFirst) responder.answerAll();
  };

  const runStep = async (): Promise<number> => {
    if (mustWait()) return ROLE_CHECK_MS;
    // A VM that the store refuses follows another VM, unless the store refuses all.
    const isLastChoice = sources.isCutOff(self.vm) && !sources.isStoreUnavailable();
    const candidate = isLastChoice ? { ...self, cores: -1 } : self;
    const reader = chooseRowReader(candidate, sources.filterUsable(listZoneVms()));
    const wasReader = isReader();
    setSource(reader);
    if (reader.vm === self.vm) {
      if (!isStoreLost()) sources.recordFresh(self.vm);
      // When a VM has just become the reader, its view of the store's reachability is outdated.
      else if (wasReader) recordCutOff();
      return ROLE_CHECK_MS;
    }
    const limitMs = staleMs * (1 - STALE_JITTER * randomness.readFraction());
    if (pair.readAgeMs() >= limitMs && clock.readMonotonicMs() >= nextReadMs) await readStore();
    const leftMs = limitMs - pair.readAgeMs();
    return followReader(reader, leftMs > 0 ? leftMs : Infinity);
  };

  return {
    ...responder,
    start: () => {
      if (!sharing) return;
      pair.setFollowing(false);
      stopLoop = startLoop({
        clock,
        firstDelayMs: 0,
        runStep,
        handleFailure: (reason) => {
          log.error('zone replication failed, this VM follows the store itself', { reason });
          pair.setFollowing(true);
          return ROLE_CHECK_MS;
        },
      });
    },
    stop: () => stopLoop(),
    isReader,
  };
};
