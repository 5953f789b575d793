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

/** Minimum time between two speed comparisons; about the interval of the load reports. */
const SPEED_UPDATE_INTERVAL_MS = 500;

/** Dependencies of the quality tracker. */
export interface QualityTrackerDependencies {
  readonly configuration: ConfigurationView;
  readonly load: RouterLoadView;
  readonly clock: Clock;
}

/** A live estimate, updated in place. */
export interface SpeedEstimate {
  /** Speed relative to comparable servers, reduced by failures; 1 is normal. */
  readonly speed: number;
}

/**
 * Outlier detection: slow and failing backend servers get fewer requests, then are ejected for a
 * time.
 */
export interface QualityTracker {
  recordAttempt(backendServer: string, failed: boolean): void;
  /** Compares the speeds in the newest reports; at most once per `SPEED_UPDATE_INTERVAL_MS`. */
  updateSpeeds(): void;
  /** Returns the estimate of a server: always the same object, updated in place. */
  readSpeedEstimate(backendServer: string): SpeedEstimate;
  isEjected(backendServer: string): boolean;
  /** Calls `listener` when a server is ejected and when its ejection ends. */
  addListener(listener: (backendServer: string, ejected: boolean) => void): void;
}

/** Groups the servers that serve the same services: only these are comparable. */
function groupComparableServers(
  servers: readonly BackendServer[],
): readonly (readonly BackendServer[])[] {
  const groups = new Map<string, BackendServer[]>();
  servers.forEach((server) => {
    const key = server.services.join('\n');
    groups.set(key, [...(groups.get(key) ?? []), server]);
  });
  return [...groups.values()];
}

/** Creates the quality tracker of the backend servers. */
export function createQualityTracker(dependencies: QualityTrackerDependencies): QualityTracker {
  const { clock, load } = dependencies;
  const listeners = new Set<(backendServer: string, ejected: boolean) => void>();
  const qualities = new Map<string, ServerQuality>();
  const speedEstimates = new Map<string, { speed: number }>();
  let speedsUpdatedMs = -Infinity;

  const notifyListeners = (name: string, ejected: boolean): void =>
    listeners.forEach((listener) => listener(name, ejected));
  const readQuality = (name: string): ServerQuality => qualities.get(name) ?? INITIAL_QUALITY;
  const readMutableEstimate = (name: string): { speed: number } => {
    const estimate = speedEstimates.get(name) ?? { speed: 1 };
    speedEstimates.set(name, estimate);
    return estimate;
  };
  const writeQuality = (name: string, quality: ServerQuality): void => {
    qualities.set(name, quality);
    readMutableEstimate(name).speed = quality.speed * (1 - quality.failures);
  };
  const recordObservation = (name: string, observation: QualityObservation): void =>
    writeQuality(name, updateQuality(readQuality(name), observation));
  const listServers = (): readonly BackendServer[] =>
    dependencies.configuration.readCurrent()?.configuration.backendServers ?? [];
  const ejectOutliers = (group: readonly BackendServer[]): void => {
    const nowMs = clock.readMonotonicMs();
    const candidates = group.map(({ name }) => ({ name, quality: readQuality(name) }));
    chooseServersToEject(candidates, nowMs).forEach(({ name, quality }) => {
      writeQuality(name, quality);
      notifyListeners(name, true);
      clock.startTimer(quality.ejectedUntilMs - nowMs, () => notifyListeners(name, false));
    });
  };
  /** Tokens per second for each running stream; null if the report has none. */
  const readRate = (name: string): number | null => {
    const report = load.findReport(name);
    if (report === null || report.running === 0 || report.tokensPerSecond === 0) return null;
    return report.tokensPerSecond / report.running;
  };

  return {
    recordAttempt: (name, failed) => {
      recordObservation(name, { kind: 'attempt', failed });
      if (!failed) return;
      const servers = listServers();
      const services = servers.find((server) => server.name === name)?.services.join('\n');
      ejectOutliers(servers.filter((server) => server.services.join('\n') === services));
    },
    updateSpeeds: () => {
      const nowMs = clock.readMonotonicMs();
      if (nowMs - speedsUpdatedMs < SPEED_UPDATE_INTERVAL_MS) return;
      speedsUpdatedMs = nowMs;
      groupComparableServers(listServers()).forEach((group) => {
        const rates = group.flatMap(({ name }) => {
          const rate = readRate(name);
          return rate === null ? [] : [{ name, rate }];
        });
        const sortedRates = rates.map(({ rate }) => rate).sort((left, right) => left - right);
        rates.forEach(({ name, rate }) =>
          recordObservation(name, { kind: 'speed', ratio: computeSpeedRatio(rate, sortedRates) }),
        );
        ejectOutliers(group);
      });
    },
    readSpeedEstimate: readMutableEstimate,
    isEjected: (name) => (qualities.get(name)?.ejectedUntilMs ?? 0) > clock.readMonotonicMs(),
    addListener: (listener) => {
      listeners.add(listener);
    },
  };
}
