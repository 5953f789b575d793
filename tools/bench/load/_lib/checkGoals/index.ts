import type { BenchReport, GoalResult, PhaseMetrics } from '../../types';
import { OWN_POLICY } from '../createBenchEntry';

const LOOKUP_RATIO_LIMIT = 1.5;
const GOODPUT_RATIO_LIMIT = 0.95;
const BASELINE_RATIO_LIMIT = 2;
const DECISION_LIMIT_US = 100;

/** Checks the measured figures against the goals of the users' brief. */
export function checkGoals(
  policies: BenchReport['policies'],
  decision: BenchReport['decision'],
): readonly GoalResult[] {
  const find = (policy: string, phase: string): PhaseMetrics | undefined =>
    policies[policy]?.find((metrics) => metrics.phase === phase);
  const readLookupP99 = (policy: string, phase: string): number =>
    find(policy, phase)?.lookup.firstTokenP99Ms ?? NaN;
  const readGoodput = (phase: string): number =>
    find(OWN_POLICY, phase)?.goodputTokensPerSecond ?? NaN;
  const baselines = Object.keys(policies).filter((policy) => policy !== OWN_POLICY);
  const own = readLookupP99(OWN_POLICY, 'load-130');
  const best = Math.min(...baselines.map((policy) => readLookupP99(policy, 'load-130')));
  const lookupRatio = own / readLookupP99(OWN_POLICY, 'idle');
  const goodputRatio = readGoodput('load-130') / readGoodput('load-100');
  return [
    {
      goal: 'lookup first token p99 at 130% long load, relative to idle',
      measured: lookupRatio,
      limit: LOOKUP_RATIO_LIMIT,
      isMet: lookupRatio <= LOOKUP_RATIO_LIMIT,
    },
    {
      goal: 'goodput at 130% relative to 100%',
      measured: goodputRatio,
      limit: GOODPUT_RATIO_LIMIT,
      isMet: goodputRatio >= GOODPUT_RATIO_LIMIT,
    },
    {
      goal: 'lookup first token p99 at 130%: best baseline relative to own',
      measured: best / own,
      limit: BASELINE_RATIO_LIMIT,
      isMet: best / own >= BASELINE_RATIO_LIMIT,
    },
    {
      goal: 'routing decision p99 with 600 back ends, in microseconds',
      measured: decision.p99Us,
      limit: DECISION_LIMIT_US,
      isMet: decision.p99Us < DECISION_LIMIT_US,
    },
  ];
}
