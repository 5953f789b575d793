import type { StandInEngine } from '../../../../../standins/engine';
import type { BreakKind, ScenarioReport } from '../../types';
import { computeLatencySummary } from '../computeLatencySummary';
import type { EndedCaller } from '../runRounds';

/** Sums the tokens that engines generated, by the generation that the stream id names. */
function countGeneratedTokens(engines: readonly StandInEngine[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  engines
    .flatMap((engine) => engine.listAttempts())
    .forEach(({ streamId, generatedTokens }) => {
      const prefix = streamId.slice(0, streamId.indexOf('.') + 1);
      counts.set(prefix, (counts.get(prefix) ?? 0) + generatedTokens);
    });
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

const countReasons = (ended: readonly EndedCaller[]): Readonly<Record<string, number>> => {
  const reasons = ended.map(({ result }) => result.reason).filter((reason) => reason !== '');
  const names = [...new Set(reasons)];
  return Object.fromEntries(
    names.map((name) => [name, reasons.filter((reason) => reason === name).length]),
  );
};

/** Computes the ratio of tokens generated but not delivered to delivered tokens. */
export function computeExtraRatio(
  broken: readonly EndedCaller[],
  engines: readonly StandInEngine[],
): number {
  const counts = countGeneratedTokens(engines);
  const generated = sum(broken.map(({ streamPrefix }) => counts.get(streamPrefix) ?? 0));
  const delivered = sum(broken.map(({ result }) => result.chain.tokens));
  return delivered === 0 ? 0 : Math.round(((generated - delivered) / delivered) * 10_000) / 10_000;
}

/** Builds the figures of one scenario from its callers and the engines' logs. */
export function buildScenarioReport(
  labels: { readonly scenario: BreakKind; readonly mode: string },
  ended: readonly EndedCaller[],
  engines: readonly StandInEngine[],
): ScenarioReport {
  const broken = ended.filter(({ result }) => result.breaks > 0);
  const chains = ended.map(({ result }) => result.chain);
  return {
    ...labels,
    generations: broken.length,
    started: ended.length,
    lost: ended.filter(({ result }) => !result.isComplete).length,
    missing: sum(chains.map(({ missing }) => missing)),
    repeated: sum(chains.map(({ repeated }) => repeated)),
    mixed: sum(chains.map(({ mixed }) => mixed)),
    resumeMs: computeLatencySummary(broken.flatMap(({ result }) => result.resumeMs)),
    gapMs: computeLatencySummary(ended.flatMap(({ result }) => result.gapsMs)),
    extraTokensRatio: computeExtraRatio(broken, engines),
    reasons: countReasons(ended),
  };
}
