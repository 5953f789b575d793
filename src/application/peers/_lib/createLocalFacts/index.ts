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

/** A load report is passed on at least this often, however little it changes. */
export const LOAD_REFRESH_MS = 2_000;

/**
 * Shortest time between two reports of one server, for each server of the region: with 200 servers a
 * report is passed on each 3 s at most, which keeps the bytes within a node's budget.
 */
export const LOAD_MIN_INTERVAL_MS_PER_SERVER = 15;

/** What the own facts need. */
export interface LocalFactsDependencies {
  readonly factStore: FactStore;
  readonly load: LoadView | null;
  readonly readSelf: () => PeerRecord;
  readonly readNowMs: () => number;
}

/** Keeps this VM's own facts on the board. */
export interface LocalFacts {
  /** Puts what changed since the last call on the board. */
  refresh(beats: number): void;
}

/** Creates the keeper of own facts. */
export function createLocalFacts(deps: LocalFactsDependencies): LocalFacts {
  const { factStore, load, readSelf, readNowMs } = deps;
  const sends = new Map<string, number>();
  let pulsed = -1;

  const refreshReport = (report: LoadReport, serverCount: number): void => {
    const nowMs = readNowMs();
    const name = report.backendServer;
    const { state, load: fact } = convertReportToFacts(report, nowMs);
    const onBoard = factStore.find(`load:${name}`);
    const sent =
      onBoard?.kind === 'load'
        ? { fact: onBoard, sentAtMs: factStore.readWrittenAtMs(`load:${name}`) ?? nowMs }
        : null;
    const minIntervalMs = serverCount * LOAD_MIN_INTERVAL_MS_PER_SERVER;
    const refreshIntervalMs = Math.max(LOAD_REFRESH_MS, minIntervalMs);
    const options = {
      slots: report.slots,
      nowMs,
      minIntervalMs: minIntervalMs,
      refreshIntervalMs: refreshIntervalMs,
    };
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
      if (beats !== pulsed) {
        pulsed = beats;
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
