import { estimateRunning, isNewerReport } from '../../../domain/load';
import type { LoadReport } from '../../../domain/types';
import type { Clock } from '../../ports';
import type { RoutingLoad } from '../types';

/** Peers' sends are dropped after this long without news: ten missed exchanges of about 1 s. */
export const PEER_SENDS_TTL_MS = 10_000;

/** Changes kept for a server that never reports; only the newest matter once it does. */
const MAX_CHANGES = 1024;

interface LoadChange {
  readonly atMs: number;
  readonly amount: number;
}

interface PeerCount {
  readonly running: number;
  readonly atMs: number;
}

/** Mutable on purpose: it is read for every server in every decision. */
interface ServerLoad {
  report: LoadReport | null;
  changes: LoadChange[];
  changeSince: number;
  own: number;
  peers: Map<string, PeerCount>;
}

/** What the load view needs. */
export interface LoadViewDependencies {
  readonly clock: Clock;
}

function countPeers(load: ServerLoad, nowMs: number): number {
  let count = 0;
  // A peer that died sends no more news: without the limit its requests would count for ever.
  load.peers.forEach(({ running, atMs }) => {
    if (nowMs - atMs <= PEER_SENDS_TTL_MS) count += running;
  });
  return count;
}

/**
 * Creates the view of back ends' load.
 *
 * Each send, end and peers' news since the newest report was sampled is kept as a change, so that
 * the estimate moves at once and not only with the next report.
 */
export function createLoadView({ clock }: LoadViewDependencies): RoutingLoad {
  const loads = new Map<string, ServerLoad>();
  const listeners = new Set<(backendServer: string) => void>();

  const readLoad = (name: string): ServerLoad => {
    const held = loads.get(name);
    if (held !== undefined) return held;
    const created = { report: null, changes: [], changeSince: 0, own: 0, peers: new Map() };
    loads.set(name, created);
    return created;
  };
  const sendNotice = (name: string): void => listeners.forEach((listener) => listener(name));
  const recordChange = (name: string, amount: number): void => {
    if (amount === 0) return;
    const load = readLoad(name);
    load.changes.push({ atMs: clock.readMonotonicMs(), amount });
    load.changeSince += amount;
    if (load.changes.length > MAX_CHANGES) load.changeSince -= load.changes.shift()?.amount ?? 0;
  };
  const recordOwn = (name: string, amount: 1 | -1): void => {
    const load = readLoad(name);
    load.own = Math.max(0, load.own + amount);
    recordChange(name, amount);
  };

  return {
    recordReport: (report) => {
      const load = readLoad(report.backendServer);
      if (!isNewerReport(report, load.report)) return;
      const sampledMs = report.receivedAtMs - report.ageMs;
      load.report = report;
      load.changes = load.changes.filter(({ atMs }) => atMs > sampledMs);
      load.changeSince = load.changes.reduce((sum, { amount }) => sum + amount, 0);
      sendNotice(report.backendServer);
    },
    recordCacheEvents: () => {},
    recordPeerSends: (vm, sends) => {
      const nowMs = clock.readMonotonicMs();
      const news = new Map(sends.map(({ backendServer, running }) => [backendServer, running]));
      const changed = [...new Set([...news.keys(), ...loads.keys()])].filter((name) => {
        const load = readLoad(name);
        const before = load.peers.get(vm)?.running ?? 0;
        const running = news.get(name) ?? 0;
        if (running === 0) load.peers.delete(vm);
        else load.peers.set(vm, { running, atMs: nowMs });
        recordChange(name, running - before);
        return running !== before;
      });
      changed.forEach(sendNotice);
    },
    listReports: () =>
      [...loads.values()].flatMap(({ report }) => (report === null ? [] : [report])),
    listOwnSends: () =>
      [...loads]
        .filter(([, { own }]) => own > 0)
        .map(([backendServer, { own }]) => ({ backendServer, running: own })),
    findReport: (name) => loads.get(name)?.report ?? null,
    estimateRunning: (name) => {
      const load = loads.get(name);
      if (load === undefined) return 0;
      const { report } = load;
      return estimateRunning({
        reported: report === null ? null : report.running + report.waiting,
        changeSince: load.changeSince,
        own: load.own,
        peers: countPeers(load, clock.readMonotonicMs()),
      });
    },
    recordSend: (name) => recordOwn(name, 1),
    recordEnd: (name) => recordOwn(name, -1),
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
