import type { ResumeReport, ScenarioReport } from '../../types';
import { computeLatencySummary } from '../computeLatencySummary';

/** Figures of a scenario, with the resume times that they were computed from. */
export interface MeasuredScenario {
  readonly report: ScenarioReport;
  readonly resumeMs: readonly number[];
}

export const BASELINE_MODE = 'baseline';

type CountName = 'generations' | 'started' | 'lost' | 'missing' | 'repeated' | 'mixed';

const sumOf = (reports: readonly ScenarioReport[], name: CountName): number =>
  reports.reduce((total, report) => total + report[name], 0);

/** Computes the mean of the ratios, weighted by the broken generations of each scenario. */
function computeMeanRatio(reports: readonly ScenarioReport[]): number {
  const total = reports.reduce(
    (sum, report) => sum + report.extraTokensRatio * report.generations,
    0,
  );
  return Math.round((total / Math.max(1, sumOf(reports, 'generations'))) * 10_000) / 10_000;
}

/** Builds the report of the bench; the counts exclude the baseline. */
export function buildResumeReport(measured: readonly MeasuredScenario[]): ResumeReport {
  const isBaseline = ({ report }: MeasuredScenario) => report.mode === BASELINE_MODE;
  const own = measured.filter((one) => !isBaseline(one));
  const baseline = measured.filter(isBaseline);
  const reports = own.map(({ report }) => report);
  return {
    generations: sumOf(reports, 'generations'),
    started: sumOf(reports, 'started'),
    lost: sumOf(reports, 'lost'),
    missing: sumOf(reports, 'missing'),
    repeated: sumOf(reports, 'repeated'),
    mixed: sumOf(reports, 'mixed'),
    resumeMs: computeLatencySummary(own.flatMap(({ resumeMs }) => resumeMs)),
    extraTokensRatio: computeMeanRatio(reports),
    baseline: {
      resumeMs: computeLatencySummary(baseline.flatMap(({ resumeMs }) => resumeMs)),
      extraTokensRatio: computeMeanRatio(baseline.map(({ report }) => report)),
    },
    scenarios: measured.map(({ report }) => report),
  };
}
