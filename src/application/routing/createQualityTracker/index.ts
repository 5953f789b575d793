import {
  chooseServersToEject,
  computeSpeedRatio,
  INITIAL_QUALITY,
  updateQuality,
} from '../../../domain/outlier';
import type { QualityObservation, ServerQuality } from '../../../domain/outlier';
import type { BackendServer } from '../../../domain/types';
import type { Clock, ConfigurationView } from '../../ports';
import type { RouterLoadView } from '../types';

/** Time between two looks at all servers; about as often as their reports come. */
const REVIEW_INTERVAL_MS = 500;

/** What the quality tracker needs. */
export interface QualityTrackerDependencies {
  readonly configuration: ConfigurationView;
  readonly load: RouterLoadView;
  readonly clock: Clock;
}

/** A figure that stays up to date. */
export interface SpeedEstimate {
  /** Speed relative to comparable servers, lowered by failures; 1 is usual. */
  readonly speed: number;
}

/** Tracks how well each backend server serves; slow and failing ones get less, then nothing. */
export interface QualityTracker {
  recordAttempt(backendServer: string, failed: boolean): void;
  /** Compares the speeds in the newest reports; does nothing if it was done just before. */
  updateSpeeds(): void;
  /** Finds the figure of a server; the same object for as long as this tracker lives. */
  readSpeedEstimate(backendServer: string): SpeedEstimate;
  isEjected(backendServer: string): boolean;
  /** Calls `listener` when a server is ejected and when its ejection ends. */
  addListener(listener: (backendServer: string, ejected: boolean) => void): void;
}

/** Groups servers that serve the same services: only these are comparable. */
function listGroups(servers: readonly BackendServer[]): readonly (readonly BackendServer[])[] {
  const groups = new Map<string, BackendServer[]>();
  servers.forEach((server) => {
    const key = server.services.join('\n');
    groups.set(key, [...(groups.get(key) ?? []), server]);
  });
  return [...groups.values()];
}

/** Creates the tracker of backend servers' quality. */
export function createQualityTracker(dependencies: QualityTrackerDependencies): QualityTracker {
  const { clock, load } = dependencies;
  const listeners = new Set<(backendServer: string, ejected: boolean) => void>();
  const qualities = new Map<string, ServerQuality>();
  const figures = new Map<string, { speed: number }>();
  let reviewedMs = -Infinity;

  const sendNotice = (name: string, ejected: boolean): void =>
    listeners.forEach((listener) => listener(name, ejected));
  const readQuality = (name: string): ServerQuality => qualities.get(name) ?? INITIAL_QUALITY;
  const readFigure = (name: string): { speed: number } => {
    const figure = figures.get(name) ?? { speed: 1 };
    figures.set(name, figure);
    return figure;
  };
  const writeQuality = (name: string, quality: ServerQuality): void => {
    qualities.set(name, quality);
    readFigure(name).speed = quality.speed * (1 - quality.failures);
  };
  const recordSign = (name: string, sign: QualityObservation): void =>
    writeQuality(name, updateQuality(readQuality(name), sign));
  const listServers = (): readonly BackendServer[] =>
    dependencies.configuration.readCurrent()?.configuration.backendServers ?? [];
  const ejectWorst = (group: readonly BackendServer[]): void => {
    const nowMs = clock.readMonotonicMs();
    const candidates = group.map(({ name }) => ({ name, quality: readQuality(name) }));
    chooseServersToEject(candidates, nowMs).forEach(({ name, quality }) => {
      writeQuality(name, quality);
      sendNotice(name, true);
      clock.startTimer(quality.ejectedUntilMs - nowMs, () => sendNotice(name, false));
    });
  };
  /** Tokens a second for each running stream; null without a fresh figure. */
  const readRate = (name: string): number | null => {
    const report = load.findReport(name);
    if (report === null || report.running === 0 || report.tokensPerSecond === 0) return null;
    return report.tokensPerSecond / report.running;
  };

  return {
    recordAttempt: (name, failed) => {
      recordSign(name, { kind: 'attempt', failed });
      if (!failed) return;
      const servers = listServers();
      const services = servers.find((server) => server.name === name)?.services.join('\n');
      ejectWorst(servers.filter((server) => server.services.join('\n') === services));
    },
    updateSpeeds: () => {
      const nowMs = clock.readMonotonicMs();
      if (nowMs - reviewedMs < REVIEW_INTERVAL_MS) return;
      reviewedMs = nowMs;
      listGroups(listServers()).forEach((group) => {
        const rates = group.flatMap(({ name }) => {
          const rate = readRate(name);
          return rate === null ? [] : [{ name, rate }];
        });
        const all = rates.map(({ rate }) => rate).sort((left, right) => left - right);
        rates.forEach(({ name, rate }) =>
          recordSign(name, { kind: 'speed', ratio: computeSpeedRatio(rate, all) }),
        );
        ejectWorst(group);
      });
    },
    readSpeedEstimate: readFigure,
    isEjected: (name) => (qualities.get(name)?.ejectedUntilMs ?? 0) > clock.readMonotonicMs(),
    addListener: (listener) => {
      listeners.add(listener);
    },
  };
}
