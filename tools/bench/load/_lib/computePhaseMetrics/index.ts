import { build } from 'hdr-histogram-js';
import type { ClassTimes, PhaseMetrics, RequestRecord } from '../../types';
import { computeFairness } from '../computeFairness';
import type { PhaseRecords } from '../runPhase';

const MS_PER_SECOND = 1000;

/** Computes a percentile of times in milliseconds, to a tenth. */
function computePercentile(values: readonly number[], percentile: number): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  values.forEach((value) => histogram.recordValue(Math.round(value * 10)));
  return values.length === 0 ? 0 : histogram.getValueAtPercentile(percentile) / 10;
}

function computeTimes(records: readonly RequestRecord[]): ClassTimes {
  const finished = records.filter(({ outcome }) => outcome === 'finished');
  const firstTokens = finished.map(({ firstTokenMs }) => firstTokenMs);
  const completions = finished.map(({ completionMs }) => completionMs);
  const count = (wanted: RequestRecord['outcome']): number =>
    records.filter(({ outcome }) => outcome === wanted).length;
  return {
    count: records.length,
    firstTokenP50Ms: computePercentile(firstTokens, 50),
    firstTokenP99Ms: computePercentile(firstTokens, 99),
    completionP50Ms: computePercentile(completions, 50),
    completionP99Ms: computePercentile(completions, 99),
    refused: count('refused'),
    late: count('late'),
    failed: count('failed'),
  };
}

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Computes the metrics of a phase: times of requests arriving, goodput of those ending, in it. */
export function computePhaseMetrics(
  phase: string,
  { records, windowStartMs, windowEndMs }: PhaseRecords,
): PhaseMetrics {
  const arrived = records.filter(
    ({ arrivedMs }) => arrivedMs >= windowStartMs && arrivedMs < windowEndMs,
  );
  const long = arrived.filter(({ isLong }) => isLong);
  const ended = records.filter(
    ({ isLong, outcome, endedMs }) =>
      isLong && outcome === 'finished' && endedMs >= windowStartMs && endedMs < windowEndMs,
  );
  const workspaces = [...new Set(long.map(({ workspace }) => workspace))];
  const work = workspaces.map((name) => {
    const own = long.filter(({ workspace }) => workspace === name);
    const served = own.filter(({ firstTokenMs }) => firstTokenMs > 0);
    return { offered: own.length, served: served.length };
  });
  const attempts = sum(arrived.map((record) => record.attempts));
  return {
    phase,
    lookup: computeTimes(arrived.filter(({ isLong }) => !isLong)),
    long: computeTimes(long),
    goodputTokensPerSecond:
      (sum(ended.map(({ tokens }) => tokens)) * MS_PER_SECOND) / (windowEndMs - windowStartMs),
    fairness: computeFairness(work),
    wastedTokens: sum(records.map(({ wastedTokens }) => wastedTokens)),
    crossZoneShare:
      sum(arrived.map(({ crossZoneAttempts }) => crossZoneAttempts)) / Math.max(1, attempts),
    resumed: records.filter((record) => record.attempts > 1).length,
  };
}
