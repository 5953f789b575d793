import {
  computeIncarnationTag,
  computeNameId,
  convertReportToFacts,
  isLoadUpdateDue,
} from '../../../../domain/membership';
import type { PeerRecord } from '../../../../domain/membership';
import type { LoadReport } from '../../../../domain/types';
import type { LoadView } from '../../../ports';
import type { FactStore } from '../createFactStore';

/** Longest time between two sent load reports of a server, however little the load changes. */
export const LOAD_REFRESH_MS = 2_000;

/**
 * Shortest time between two sent load reports of a server, for each server of the region. With 200
 * servers a report is sent at most every 3 s, which keeps the bytes within a node's budget.
 */
export const LOAD_MIN_INTERVAL_MS_PER_SERVER = 15;

/** Dependencies of the local facts. */
export interface LocalFactsDependencies {
  readonly factStore: FactStore;
  readonly load: LoadView | null;
  readonly readSelf: () => PeerRecord;
  readonly readNowMs: () => number;
}

/** Keeps this VM's own facts in the fact store up to date. */
export interface LocalFacts {
  /** Writes the facts that changed since the last call to the fact store. */
  refresh(beats: number): void;
}

/** Creates the updater of this VM's own facts. */
export function createLocalFacts(deps: LocalFactsDependencies): LocalFacts {
  const { factStore, load, readSelf, readNowMs } = deps;
  const sends = new Map<string, number>();
  let lastBeats = -1;

  const refreshReport = (report: LoadReport, serverCount: number): void => {
    const nowMs = readNowMs();
    const name = report.backendServer;
    const { state, load: fact } = convertReportToFacts(report, nowMs);
    const stored = factStore.find(`load:${name}`);
    const sent =
      stored?.kind === 'load'
        ? { fact: stored, sentAtMs: factStore.readWrittenAtMs(`load:${name}`) ?? nowMs }
        : null;
    const minIntervalMs = serverCount * LOAD_MIN_INTERVAL_MS_PER_SERVER;
    const refreshIntervalMs = Math.max(LOAD_REFRESH_MS, minIntervalMs);
    const options = { slots: report.slots, nowMs, minIntervalMs, refreshIntervalMs };
    if (!isLoadUpdateDue(sent, fact, options)) return;
    if (JSON.stringify(factStore.find(`state:${name}`)) !== JSON.stringify(state)) {
      factStore.write(`state:${name}`, state, readSelf().vm);
    }
    factStore.write(`load:${name}`, fact, readSelf().vm);
  };

  const refreshSends = (): void => {
    const current = new Map(
      (load?.listOwnSends() ?? []).map(({ backendServer, running }) => [backendServer, running]),
    );
    new Set([...sends.keys(), ...current.keys()]).forEach((name) => {
      const running = current.get(name) ?? 0;
      if (running === (sends.get(name) ?? 0)) return;
      sends.set(name, running);
      factStore.write(`send:${name}`, { kind: 'send', id: computeNameId(name), running }, '');
    });
  };

  return {
    refresh: (beats) => {
      const record = readSelf();
      const held = factStore.find(`peer:${record.vm}`);
      if (held?.kind !== 'peer' || JSON.stringify(held.record) !== JSON.stringify(record)) {
        factStore.write(`peer:${record.vm}`, { kind: 'peer', record }, record.vm);
      }
      if (beats !== lastBeats) {
        lastBeats = beats;
        const incarnationTag = computeIncarnationTag(record.incarnation);
        const id = computeNameId(record.vm);
        const pulse = { kind: 'pulse', id, incarnationTag, beats } as const;
        factStore.write(`pulse:${record.vm}`, pulse, record.vm);
      }
      const reports = load?.listReports() ?? [];
      reports.forEach((report) => refreshReport(report, reports.length));
      refreshSends();
    },
  };
}
