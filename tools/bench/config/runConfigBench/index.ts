import { build as buildHistogram } from 'hdr-histogram-js';
import { createStandInEngine } from '../../../../standins/engine';
import { createStandInPlatform } from '../../../../standins/platform';
import { buildEntrySettings } from '../../../embedded';
import { buildBenchConfiguration, REGION } from '../_lib/buildBenchConfiguration';
import { countLostChanges } from '../_lib/countLostChanges';
import { createOperator } from '../_lib/createOperator';
import { createVersionTracker } from '../_lib/createVersionTracker';
import { runChanges } from '../_lib/runChanges';
import { runOutage } from '../_lib/runOutage';
import { startFleet } from '../_lib/startFleet';
import { startLoad } from '../_lib/startLoad';
import type { ConfigReport } from '../types';

/** Options of the bench. */
export interface ConfigBenchOptions {
  readonly entries: number;
  /** Number of rounds before the outage, and again after it. */
  readonly rounds: number;
  readonly outageMs: number;
  readonly writeProgress: (line: string) => void;
}

const OPERATORS = ['alice', 'robert'];
const ENGINES = 3;
const MS_PER_S = 1_000;

function computeSummary(samples: readonly number[]): ConfigReport['inForceMs'] {
  const histogram = buildHistogram({ highestTrackableValue: 600_000 });
  samples.forEach((sample) => histogram.recordValue(Math.max(1, Math.round(sample))));
  return {
    p50: histogram.getValueAtPercentile(50),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
  };
}

/**
 * Measures how configurations come into force: entries under load, two operators who apply
 * concurrently, lost answers of the table, restarts, and outages of the table.
 */
export async function runConfigBench(options: ConfigBenchOptions): Promise<ConfigReport> {
  const { entries, rounds, writeProgress } = options;
  const platform = await createStandInPlatform();
  const engines = await Promise.all(
    Array.from({ length: ENGINES }, (_, index) =>
      createStandInEngine({ name: `engine-${index + 1}`, slots: 64, firstTokenMs: 5, gapMs: 1 }),
    ),
  );
  const tracker = createVersionTracker();
  const settings = buildEntrySettings(platform, {
    name: 'operator',
    region: REGION,
    availabilityZone: '',
  });
  const operators = OPERATORS.map((name) => createOperator(name, settings.table));
  const urls = engines.map(({ port }) => `http://127.0.0.1:${port}`);
  await operators[0]?.applyFirst(buildBenchConfiguration(OPERATORS, urls));
  const fleet = await startFleet(platform, entries, tracker);
  await tracker.waitForAll(1);
  const load = startLoad(fleet.listUrls);
  const deps = { platform, fleet, tracker, operators, entries };

  const before = await runChanges(deps, rounds);
  writeProgress(`${before.length} changes in force before the outage`);
  const outage = await runOutage(deps, load, options.outageMs);
  writeProgress(`outage ${JSON.stringify(outage)}`);
  const after = await runChanges(deps, rounds);

  const counts = await load.stop();
  const conflictsLost = await countLostChanges(operators);
  const conflicts = operators.reduce((sum, operator) => sum + operator.countConflicts(), 0);
  writeProgress(`requests ${JSON.stringify(counts)}; conflicts shown ${conflicts}`);
  await fleet.stop();
  await Promise.all(operators.map((operator) => operator.close()));
  await Promise.all(engines.map((engine) => engine.stop()));
  await platform.close();
  return {
    applied: operators.flatMap((operator) => operator.listAccepted()).length,
    inForceMs: computeSummary([...before, ...after]),
    reverts: tracker.countReverts(),
    conflictsLost,
    outageSeconds: Math.round(outage.outageMs / MS_PER_S),
    requestsFailedInOutage: counts.failedMarked,
  };
}
