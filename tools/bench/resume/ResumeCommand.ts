import { Command, Option, UsageError } from 'clipanion';
import { SurvivalMode } from '../../../src/domain/types';
import { parseNumberFlag } from '../../../standins/_lib/parseNumberFlag';
import { runResumeBench } from './runResumeBench';
import { BreakKind } from './types';

/** Parses a list of names separated by commas; an error names the flag and what is allowed. */
function parseNames<T extends string>(flag: string, text: string, allowed: readonly T[]): T[] {
  return text.split(',').map((name) => {
    const found = allowed.find((one) => one === name);
    if (found === undefined)
      throw new UsageError(`${flag}: "${name}" is none of ${allowed.join()}`);
    return found;
  });
}

const ALL_SCENARIOS = Object.values(BreakKind);
const ALL_MODES = Object.values(SurvivalMode);

/** `bench resume`: breaks running generations and measures how they resume. */
export class ResumeCommand extends Command {
  static override paths = [['resume']];

  static override usage = Command.Usage({
    description: 'Break running generations and measure how they resume.',
    details: `
      Kills and freezes engines and loses a zone, in both survival modes, and compares with callers
      that start over from the beginning. The last line is one JSON object. Exit code 1: a generation
      was lost, or a token was missing, repeated or mixed.
    `,
    examples: [
      ['The whole bench', '$0 resume'],
      ['A short run of one scenario', '$0 resume --generations 20 --scenarios kill'],
    ],
  });

  generations = Option.String('--generations', '1000');

  seed = Option.String('--seed', '1');

  scenarios = Option.String('--scenarios', ALL_SCENARIOS.join());

  modes = Option.String('--modes', ALL_MODES.join());

  override async execute(): Promise<number> {
    const report = await runResumeBench({
      generations: parseNumberFlag('--generations', this.generations),
      seed: parseNumberFlag('--seed', this.seed),
      scenarios: parseNames('--scenarios', this.scenarios, ALL_SCENARIOS),
      modes: parseNames('--modes', this.modes, ALL_MODES),
      writeProgress: (line) => this.context.stderr.write(`${line}\n`),
    });
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
    return report.lost + report.missing + report.repeated + report.mixed === 0 ? 0 : 1;
  }
}
