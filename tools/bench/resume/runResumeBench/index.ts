import { createSeededRandomness } from '../../../../standins/fakes';
import { SurvivalMode } from '../../../../src/domain/types';
import { BENCH_KEY, buildBenchConfiguration } from '../_lib/buildBenchConfiguration';
import { buildCallerRequests } from '../_lib/buildCallerRequests';
import { BASELINE_MODE, buildResumeReport, type MeasuredScenario } from '../_lib/buildResumeReport';
import { buildScenarioReport } from '../_lib/buildScenarioReport';
import { runRounds, type EndedCaller, type RoundsOptions } from '../_lib/runRounds';
import { startBenchSystem, type BenchSystem } from '../_lib/startBenchSystem';
import { startCaller } from '../_lib/startCaller';
import { startBaselineCaller } from '../_lib/startBaselineCaller';
import { waitUntilIdle } from '../_lib/waitUntilIdle';
import { BreakKind, type BenchCaller, type ResumeReport } from '../types';

/** Options of the bench. */
export interface ResumeBenchOptions {
  /** Broken generations over all scenarios and modes, not counting those of the baseline. */
  readonly generations: number;
  readonly seed: number;
  readonly scenarios: readonly BreakKind[];
  readonly modes: readonly SurvivalMode[];
  /** Writes a line about the progress of the bench. */
  readonly writeProgress: (line: string) => void;
}

/** Callers of a round: half of the slots that long work may use. */
const CALLERS_PER_ROUND = 36;

/** Faults per round. One loss of a zone breaks two thirds of a round's generations by itself. */
const BREAKS_PER_ROUND: Readonly<Record<BreakKind, number>> = {
  [BreakKind.Kill]: 2,
  [BreakKind.Freeze]: 2,
  [BreakKind.Zone]: 1,
};

/** Share of the broken generations of one scenario that its baseline breaks. */
const BASELINE_SHARE = 0.5;

interface Run {
  readonly kind: BreakKind;
  readonly mode: string;
  readonly generations: number;
  readonly startCallers: RoundsOptions['startCallers'];
}

async function measureScenario(
  system: BenchSystem,
  run: Run,
  options: ResumeBenchOptions,
): Promise<MeasuredScenario> {
  const { kind, mode, generations, startCallers } = run;
  const ended: readonly EndedCaller[] = await runRounds({
    kind,
    system,
    generations,
    startCallers,
    randomness: createSeededRandomness(options.seed),
    breaksPerRound: BREAKS_PER_ROUND[kind],
    handleRound: (broken) => options.writeProgress(`${mode} ${kind}: ${broken}/${generations}`),
  });
  const engines = [...system.backends.engines.values()];
  await waitUntilIdle(engines);
  const resumeMs = ended.flatMap(({ result }) => result.resumeMs);
  return {
    report: buildScenarioReport({ scenario: kind, mode }, ended, engines),
    resumeMs,
  };
}

/** Creates a starter of callers that use the published client at all entries. */
function createCallerStarter(system: BenchSystem, seed: number) {
  const randomness = createSeededRandomness(seed);
  return (): readonly BenchCaller[] => {
    const urls = system.listEntries().map(({ url }) => url);
    const requests = buildCallerRequests(CALLERS_PER_ROUND, urls, randomness);
    return requests.map((request) => startCaller(request, BENCH_KEY));
  };
}

/** Creates a starter of baseline callers, which connect directly to the engines. */
function createBaselineCallerStarter(system: BenchSystem, seed: number) {
  const randomness = createSeededRandomness(seed);
  let started = 0;
  return (): readonly BenchCaller[] => {
    const urls = [...system.backends.engines.values()].map(({ url }) => url);
    const requests = buildCallerRequests(CALLERS_PER_ROUND, urls, randomness);
    return requests.map((request) => {
      started += 1;
      return startBaselineCaller(request, `scratch-${started}`);
    });
  };
}

async function measureMode(
  mode: SurvivalMode,
  options: ResumeBenchOptions,
): Promise<readonly MeasuredScenario[]> {
  const { scenarios, modes, seed } = options;
  const generations = Math.ceil(options.generations / scenarios.length / modes.length);
  const measured: MeasuredScenario[] = [];
  for (const kind of scenarios) {
    const system = await startBenchSystem(buildBenchConfiguration(mode));
    try {
      const startCallers = createCallerStarter(system, seed);
      measured.push(
        await measureScenario(system, { kind, mode, generations, startCallers }, options),
      );
      if (mode === modes[0]) {
        const baseline = {
          kind,
          mode: BASELINE_MODE,
          generations: Math.ceil(generations * BASELINE_SHARE),
          startCallers: createBaselineCallerStarter(system, seed),
        };
        measured.push(await measureScenario(system, baseline, options));
      }
    } finally {
      await system.stop();
    }
  }
  return measured;
}

/**
 * Breaks generations with each fault in each survival mode, and measures how they resume.
 *
 * Platform, engines and callers run in this process, entries in separate processes. The baseline
 * uses the same engines in the same run.
 */
export async function runResumeBench(options: ResumeBenchOptions): Promise<ResumeReport> {
  const measured: MeasuredScenario[] = [];
  for (const mode of options.modes) measured.push(...(await measureMode(mode, options)));
  return buildResumeReport(measured);
}
