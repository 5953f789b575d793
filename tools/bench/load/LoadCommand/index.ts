import { writeFile } from 'node:fs/promises';
import { Command, Option, UsageError } from 'clipanion';
import { checkGoals } from '../_lib/checkGoals';
import { BaselineName } from '../_lib/createBaselineRouter';
import { OWN_POLICY } from '../_lib/createBenchEntry';
import type { PolicyName } from '../_lib/createBenchEntry';
import { findDeploymentShape } from '../_lib/findDeploymentShape';
import { measureDecisions } from '../_lib/measureDecisions';
import { renderPlot } from '../_lib/renderPlot';
import { runPolicyHost } from '../_lib/runPolicyHost';
import type { BenchReport } from '../types';

const WARM_UP_SECONDS = 2.5;

/** Policies that run in parallel: with more, the machine would limit the results. */
const PARALLEL = 2;

const POLICIES: readonly PolicyName[] = [OWN_POLICY, ...Object.values(BaselineName)];

/** Parses a whole number above 0. */
function parseCount(flag: string, text: string): number {
  const value = Number(text);
  if (Number.isInteger(value) && value > 0) return value;
  throw new UsageError(`${flag}: "${text}" is not a whole number above 0`);
}

/** Measures routing and admission control under load, compared with simple policies. */
export class LoadCommand extends Command {
  static override paths = [['load']];

  static override usage = Command.Usage({
    description: 'Compares routing under load with random, round robin and least reported load.',
    details: 'The last line is one JSON object. Takes about three minutes.',
    examples: [['Sello, with a chart', '$0 load --deployment sello --plot load.svg']],
  });

  deployment = Option.String('--deployment', 'sello', { description: 'sello or cymdeithas' });

  seed = Option.String('--seed', '1');

  seconds = Option.String('--seconds', '9', { description: 'Length of each phase.' });

  plot = Option.String('--plot', { description: 'SVG file to draw.' });

  async execute(): Promise<void> {
    const shape = findDeploymentShape(this.deployment);
    if (shape === null) {
      throw new UsageError(`--deployment: "${this.deployment}" is not sello or cymdeithas`);
    }
    const seed = parseCount('--seed', this.seed);
    const seconds = parseCount('--seconds', this.seconds);
    const decision = await measureDecisions(shape);
    const policies: Record<string, BenchReport['policies'][string]> = {};
    const left = [...POLICIES];
    const runNext = async (): Promise<void> => {
      const policy = left.shift();
      if (policy === undefined) return;
      const options = { deployment: shape.name, seed, seconds, warmUpSeconds: WARM_UP_SECONDS };
      policies[policy] = await runPolicyHost({ ...options, policy });
      this.context.stdout.write(`${policy}: done\n`);
      await runNext();
    };
    await Promise.all(Array.from({ length: PARALLEL }, runNext));
    const report: BenchReport = {
      deployment: shape.name,
      seed,
      secondsPerPhase: seconds,
      decision,
      policies,
      goals: checkGoals(policies, decision),
    };
    if (this.plot !== undefined) await writeFile(this.plot, await renderPlot(report));
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
  }
}
