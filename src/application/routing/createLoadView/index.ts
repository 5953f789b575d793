import { addToAverage, estimateRunning, isNewerReport } from '../../../domain/load';
import type { LoadReport } from '../../../domain/types';
import type { Clock } from '../../ports';
import { createPrefixIndex } from '../createPrefixIndex';
import type { RoutingLoad } from '../types';

/** Peers' sends are dropped after this long without news: ten missed exchanges of about 1 s. */
export const PEER_SENDS_TTL_MS = 10_000;

/** Changes kept for a server that never reports; only the newest matter once it does. */
const MAX_CHANGES = 1024;

/** Weight of a new round trip in the mean of its zone. */
const ZONE_WEIGHT = 0.2;

interface LoadChange {
  readonly atMs: number;
  readonly amount: number;
}

/** Mutable on purpose: it is read for every server in every decision. */
interface ServerLoad {
  report: LoadReport | null;
  changes: LoadChange[];
  changeSince: number;
  own: number;
  peers: number;
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
export function createLoadView({ clock }: LoadViewDependencies): RoutingLoad {
  const loads = new Map<string, ServerLoad>();
  const peers = new Map<string, PeerNews>();
  const zones = new Map<string, number>();
  const listeners = new Set<(backendServer: string) => void>();
  const prefixIndex = createPrefixIndex({ clock });
  let readinessEpoch = 0;

  const readLoad = (name: string): ServerLoad => {
    const held = loads.get(name);
    if (held !== undefined) return held;
    const created = { report: null, changes: [], changeSince: 0, own: 0, peers: 0, running: 0 };
    loads.set(name, created);
    return created;
  };
  const sendNotice = (name: string): void => listeners.forEach((listener) => listener(name));
  const updateRunning = (name: string): void => {
    const load = readLoad(name);
    const { report, changeSince, own, peers: others } = load;
    const reported = report === null ? null : report.running + report.waiting;
    load.running = estimateRunning({ reported, changeSince, own, peers: others });
  };
  const recordChange = (name: string, amount: number): void => {
    if (amount === 0) return;
    const load = readLoad(name);
    load.changes.push({ atMs: clock.readMonotonicMs(), amount });
    load.changeSince += amount;
    if (load.changes.length > MAX_CHANGES) load.changeSince -= load.changes.shift()?.amount ?? 0;
    updateRunning(name);
  };
  const recordOwn = (name: string, amount: 1 | -1): void => {
    const load = readLoad(name);
    load.own = Math.max(0, load.own + amount);
    recordChange(name, amount);
  };
  const applyPeerNews = (vm: string, running: ReadonlyMap<string, number>): readonly string[] => {
    const before = peers.get(vm)?.running ?? new Map<string, number>();
    const names = [...new Set([...before.keys(), ...running.keys()])];
    const changed = names.filter((name) => before.get(name) !== running.get(name));
    changed.forEach((name) => {
      const amount = (running.get(name) ?? 0) - (before.get(name) ?? 0);
      readLoad(name).peers += amount;
      recordChange(name, amount);
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
      load.report = report;
      load.changes = load.changes.filter(({ atMs }) => atMs > sampledMs);
      load.changeSince = load.changes.reduce((sum, { amount }) => sum + amount, 0);
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
    readRunning: readLoad,
    findCachedTokens: prefixIndex.findCachedTokens,
    readCacheSequence: prefixIndex.readSequence,
    readZoneMs: (zone) => zones.get(zone) ?? 0,
    recordZoneMs: (zone, roundTripMs) => {
      zones.set(zone, addToAverage(zones.get(zone) ?? 0, roundTripMs, ZONE_WEIGHT));
    },
    recordSend: (name, prefixes) => {
      recordOwn(name, 1);
      prefixIndex.recordSent(name, prefixes);
    },
    recordEnd: (name) => {
      recordOwn(name, -1);
      sendNotice(name);
    },
    recordFull: (name, slots) => {
      const load = readLoad(name);
      if (load.report !== null) recordChange(name, Math.max(0, slots - load.running));
    },
    readReadinessEpoch: () => readinessEpoch,
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
