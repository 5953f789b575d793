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

/** The load of a silent peer is dropped after this time: ten missed exchanges of about 1 s. */
export const PEER_SENDS_TTL_MS = 10_000;

/** Limit of the changes kept for a server that never reports; a report needs only the newest. */
const MAX_CHANGES = 1024;

/** Weight of a new round trip in the moving average of its availability zone. */
const ZONE_ROUND_TRIP_WEIGHT = 0.2;

/** Weight of a new report in the average of others' requests: about the last five count. */
const OTHERS_WEIGHT = 0.2;

/** Weight of a newly ended request in the average hold time of its server. */
const HOLD_WEIGHT = 0.1;

/** Average time since the newest report arrived: half the interval between two reports. */
const MEAN_REPORT_USE_MS = 250;

interface LoadChange {
  readonly atMs: number;
  readonly amount: number;
  readonly isOwn: boolean;
}

/** Mutable because every routing decision reads it for every server. */
interface ServerLoad {
  report: LoadReport | null;
  /** Changes since the newest report was sampled. */
  changes: LoadChange[];
  /** Sums of `changes`, by this VM and by its peers. */
  ownSince: number;
  peersSince: number;
  /** Running requests of this VM, and those that the peers last announced. */
  own: number;
  peers: number;
  /** Requests of other VMs in the newest report, and their average over the last reports. */
  others: number;
  meanOthers: number;
  /** Averages of the hold time and of its square, for the length-biased hold time. */
  holdMs: number;
  holdSquareMs: number;
  /** Estimated requests, computed again at each change of the fields above. */
  running: number;
}

interface PeerLoad {
  readonly running: ReadonlyMap<string, number>;
  readonly atMs: number;
}

/** Dependencies of the load view. */
export interface LoadViewDependencies {
  readonly clock: Clock;
}

/** Sums the changes by this VM or, if `own` is false, by its peers. */
function sumChanges(changes: readonly LoadChange[], own: boolean): number {
  return changes.reduce((sum, { amount, isOwn }) => (isOwn === own ? sum + amount : sum), 0);
}

/** Tells whether two reports of a server differ in the work that it can accept. */
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
 * Creates the view of the load of the backend servers.
 *
 * The view keeps each send, end and peer update since the newest report was sampled as a change, so
 * that the estimate moves at once and not only with the next report.
 */
export function createLoadView({ clock }: LoadViewDependencies): RouterLoadView {
  const loads = new Map<string, ServerLoad>();
  const peers = new Map<string, PeerLoad>();
  const zoneRoundTripsMs = new Map<string, number>();
  const listeners = new Set<(backendServer: string) => void>();
  const prefixIndex = createPrefixIndex({ clock });
  let readinessEpoch = 0;

  const readLoad = (name: string): ServerLoad => {
    const existing = loads.get(name);
    if (existing !== undefined) return existing;
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
  const notifyListeners = (name: string): void => listeners.forEach((listener) => listener(name));
  const updateRunning = (name: string): void => {
    const load = readLoad(name);
    const { report, own, peers: peerRequests, others, meanOthers, peersSince } = load;
    // A request observed at a random moment is more likely a long one: length-biased mean.
    const holdMs = load.holdMs > 0 ? load.holdSquareMs / load.holdMs : 0;
    load.running = estimateRunningRequests({
      own,
      peers: peerRequests,
      others: report === null ? null : others + peersSince,
      meanOthers,
      freshness: computeFreshness((report?.ageMs ?? 0) + MEAN_REPORT_USE_MS, holdMs),
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
  const recordOwnChange = (name: string, amount: 1 | -1): void => {
    const load = readLoad(name);
    if (load.own + amount < 0) return;
    load.own += amount;
    recordChange(name, amount, true);
  };
  const applyPeerLoad = (vm: string, running: ReadonlyMap<string, number>): readonly string[] => {
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
      // A dead peer sends no updates: its requests would otherwise count for ever.
      if (nowMs - atMs <= PEER_SENDS_TTL_MS) return;
      applyPeerLoad(vm, new Map());
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
      const ownAtSample = load.own - load.ownSince;
      load.others = Math.max(0, report.running + report.waiting - ownAtSample);
      load.meanOthers += (isFirst ? 1 : OTHERS_WEIGHT) * (load.others - load.meanOthers);
      updateRunning(name);
      dropSilentPeers(clock.readMonotonicMs());
      notifyListeners(name);
    },
    recordCacheEvents: prefixIndex.recordEvents,
    recordPeerSends: (vm, sends) => {
      const running = new Map(
        sends
          .filter((send) => send.running > 0)
          .map((send) => [send.backendServer, send.running] as const),
      );
      const changed = applyPeerLoad(vm, running);
      peers.set(vm, { running, atMs: clock.readMonotonicMs() });
      dropSilentPeers(clock.readMonotonicMs());
      changed.forEach(notifyListeners);
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
    readZoneRoundTripMs: (zone) => zoneRoundTripsMs.get(zone) ?? 0,
    recordZoneRoundTripMs: (zone, roundTripMs) => {
      zoneRoundTripsMs.set(
        zone,
        updateMovingAverage(zoneRoundTripsMs.get(zone) ?? 0, roundTripMs, ZONE_ROUND_TRIP_WEIGHT),
      );
    },
    recordSend: (name, prefixes) => {
      recordOwnChange(name, 1);
      prefixIndex.recordSent(name, prefixes);
    },
    recordEnd: (name, holdMs) => {
      const load = readLoad(name);
      load.holdMs = updateMovingAverage(load.holdMs, holdMs, HOLD_WEIGHT);
      load.holdSquareMs = updateMovingAverage(load.holdSquareMs, holdMs * holdMs, HOLD_WEIGHT);
      recordOwnChange(name, -1);
      notifyListeners(name);
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
