import {
  updateMovingAverage,
  computeFreshness,
  estimateRunningRequests,
  isNewerReport,
} from '../../../domain/load';
import type { LoadReport } from '../../../domain/types';
import type { Clock } from '../../ports';
import { createPrefixIndex } from '../createPrefixIndex';
import type { RouterLoadView } from '../types';

/** Peers' sends are dropped after this long without news: ten missed exchanges of about 1 s. */
export const PEER_SENDS_TTL_MS = 10_000;

/** Changes kept for a server that never reports; only the newest matter once it does. */
const MAX_CHANGES = 1024;

/** Weight of a new round trip in the mean of its zone. */
const ZONE_WEIGHT = 0.2;

/** Weight of a new report in the mean of others' requests: about the last five count. */
const OTHERS_WEIGHT = 0.2;

/** Weight of a newly ended request in the mean hold time of its server. */
const HOLD_WEIGHT = 0.1;

/** Mean time for which a report is the newest one: half of the time between two. */
const MEAN_USE_MS = 250;

interface LoadChange {
  readonly atMs: number;
  readonly amount: number;
  readonly isOwn: boolean;
}

/** Mutable on purpose: it is read for every server in every decision. */
interface ServerLoad {
  report: LoadReport | null;
  /** Changes since the newest report was sampled. */
  changes: LoadChange[];
  ownSince: number;
  peersSince: number;
  own: number;
  peers: number;
  /** Others' requests in the newest report, and their mean over the last ones. */
  others: number;
  meanOthers: number;
  /** Sums from which the hold time of a request met at a random moment follows. */
  holdMs: number;
  holdSquareMs: number;
  /** The estimate, worked out anew at each change of what is above. */
  running: number;
}

interface PeerNews {
  readonly running: ReadonlyMap<string, number>;
  readonly atMs: number;
}

/** What the load view needs. */
export interface LoadViewDependencies {
  readonly clock: Clock;
}

/** Sums the own, or the peers', changes. */
function sumChanges(changes: readonly LoadChange[], own: boolean): number {
  return changes.reduce((sum, { amount, isOwn }) => (isOwn === own ? sum + amount : sum), 0);
}

/** Tells whether two reports of a server differ in which work it can take. */
function hasReadinessChanged(before: LoadReport | null, after: LoadReport): boolean {
  return (
    before === null ||
    before.leaving !== after.leaving ||
    before.role !== after.role ||
    before.slots !== after.slots ||
    JSON.stringify(before.models) !== JSON.stringify(after.models)
  );
}

/**
 * Creates the view of back ends' load.
 *
 * Each send, end and peers' news since the newest report was sampled is kept as a change, so that
 * the estimate moves at once and not only with the next report.
 */
export function createLoadView({ clock }: LoadViewDependencies): RouterLoadView {
  const loads = new Map<string, ServerLoad>();
  const peers = new Map<string, PeerNews>();
  const zones = new Map<string, number>();
  const listeners = new Set<(backendServer: string) => void>();
  const prefixIndex = createPrefixIndex({ clock });
  let readinessEpoch = 0;

  const readLoad = (name: string): ServerLoad => {
    const held = loads.get(name);
    if (held !== undefined) return held;
    const created = {
      report: null,
      changes: [],
      ownSince: 0,
      peersSince: 0,
      own: 0,
      peers: 0,
      others: 0,
      meanOthers: 0,
      holdMs: 0,
      holdSquareMs: 0,
      running: 0,
    };
    loads.set(name, created);
    return created;
  };
  const sendNotice = (name: string): void => listeners.forEach((listener) => listener(name));
  const updateRunning = (name: string): void => {
    const load = readLoad(name);
    const { report, own, peers: known, others, meanOthers, peersSince } = load;
    // A request met at a random moment is more likely a long one: hence the squares.
    const holdMs = load.holdMs > 0 ? load.holdSquareMs / load.holdMs : 0;
    load.running = estimateRunningRequests({
      own,
      peers: known,
      others: report === null ? null : others + peersSince,
      meanOthers,
      freshness: computeFreshness((report?.ageMs ?? 0) + MEAN_USE_MS, holdMs),
    });
  };
  const recordChange = (name: string, amount: number, isOwn: boolean): void => {
    if (amount === 0) return;
    const load = readLoad(name);
    load.changes.push({ atMs: clock.readMonotonicMs(), amount, isOwn });
    if (load.changes.length > MAX_CHANGES) load.changes.shift();
    if (isOwn) load.ownSince += amount;
    else load.peersSince += amount;
    updateRunning(name);
  };
  const recordOwn = (name: string, amount: 1 | -1): void => {
    const load = readLoad(name);
    if (load.own + amount < 0) return;
    load.own += amount;
    recordChange(name, amount, true);
  };
  const applyPeerNews = (vm: string, running: ReadonlyMap<string, number>): readonly string[] => {
    const before = peers.get(vm)?.running ?? new Map<string, number>();
    const names = [...new Set([...before.keys(), ...running.keys()])];
    const changed = names.filter((name) => before.get(name) !== running.get(name));
    changed.forEach((name) => {
      const amount = (running.get(name) ?? 0) - (before.get(name) ?? 0);
      readLoad(name).peers += amount;
      recordChange(name, amount, false);
    });
    return changed;
  };
  const dropSilentPeers = (nowMs: number): void =>
    peers.forEach(({ atMs }, vm) => {
      // A peer that died sends no more news: its requests would count for ever.
      if (nowMs - atMs <= PEER_SENDS_TTL_MS) return;
      applyPeerNews(vm, new Map());
      peers.delete(vm);
    });

  return {
    recordReport: (report) => {
      const name = report.backendServer;
      const load = readLoad(name);
      if (!isNewerReport(report, load.report)) return;
      if (load.report !== null && report.sequence < load.report.sequence) {
        prefixIndex.removeServer(name);
      }
      if (hasReadinessChanged(load.report, report)) readinessEpoch += 1;
      const sampledMs = report.receivedAtMs - report.ageMs;
      const isFirst = load.report === null;
      load.report = report;
      load.changes = load.changes.filter(({ atMs }) => atMs > sampledMs);
      load.ownSince = sumChanges(load.changes, true);
      load.peersSince = sumChanges(load.changes, false);
      const ownThen = load.own - load.ownSince;
      load.others = Math.max(0, report.running + report.waiting - ownThen);
      load.meanOthers += (isFirst ? 1 : OTHERS_WEIGHT) * (load.others - load.meanOthers);
      updateRunning(name);
      dropSilentPeers(clock.readMonotonicMs());
      sendNotice(name);
    },
    recordCacheEvents: prefixIndex.recordEvents,
    recordPeerSends: (vm, sends) => {
      const running = new Map(
        sends
          .filter((send) => send.running > 0)
          .map((send) => [send.backendServer, send.running] as const),
      );
      const changed = applyPeerNews(vm, running);
      peers.set(vm, { running, atMs: clock.readMonotonicMs() });
      dropSilentPeers(clock.readMonotonicMs());
      changed.forEach(sendNotice);
    },
    listReports: () =>
      [...loads.values()].flatMap(({ report }) => (report === null ? [] : [report])),
    listOwnSends: () =>
      [...loads]
        .filter(([, { own }]) => own > 0)
        .map(([backendServer, { own }]) => ({ backendServer, running: own })),
    findReport: (name) => loads.get(name)?.report ?? null,
    readRunningEstimate: readLoad,
    findCachedTokens: prefixIndex.findCachedTokens,
    readCacheSequence: prefixIndex.readSequence,
    readZoneRoundTripMs: (zone) => zones.get(zone) ?? 0,
    recordZoneRoundTripMs: (zone, roundTripMs) => {
      zones.set(zone, updateMovingAverage(zones.get(zone) ?? 0, roundTripMs, ZONE_WEIGHT));
    },
    recordSend: (name, prefixes) => {
      recordOwn(name, 1);
      prefixIndex.recordSent(name, prefixes);
    },
    recordEnd: (name, holdMs) => {
      const load = readLoad(name);
      load.holdMs = updateMovingAverage(load.holdMs, holdMs, HOLD_WEIGHT);
      load.holdSquareMs = updateMovingAverage(load.holdSquareMs, holdMs * holdMs, HOLD_WEIGHT);
      recordOwn(name, -1);
      sendNotice(name);
    },
    recordServerFull: (name, slots) => {
      const load = readLoad(name);
      if (load.report !== null) recordChange(name, Math.max(0, slots - load.running), false);
    },
    readReadinessEpoch: () => readinessEpoch,
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
