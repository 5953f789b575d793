import { Command, Option, UsageError } from 'clipanion';
import { runSlopesBench } from './runSlopesBench';
import { SlopeAxis } from './types';

const DEFAULT_SETTLE_MS = '4000';
const DEFAULT_WINDOW_MS = '8000';

const parseAxes = (text: string): readonly SlopeAxis[] => {
  const known = Object.values(SlopeAxis);
  if (text === '') return known;
  return text.split(',').map((name) => {
    const axis = known.find((candidate) => candidate === name);
    if (axis === undefined)
      throw new UsageError(`--axes: "${name}" is none of ${known.join(', ')}`);
    return axis;
  });
};

const parseMs = (flag: string, text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value <= 0) {
    throw new UsageError(`${flag}: "${text}" is not a whole number of milliseconds above 0`);
  }
  return value;
};

/** Measures the resource usage of an entry as a function of the size of the system. */
export class SlopesCommand extends Command {
  static override paths = [['slopes']];

  static override usage = Command.Usage({
    description: 'Measures memory, processor time and table calls of an entry at several sizes.',
    details: 'Needs `npm run build` first. The last line is one JSON object.',
    examples: [
      ['All axes', '$0 slopes'],
      ['Two axes', '$0 slopes --axes peers,streams'],
    ],
  });

  axes = Option.String('--axes', '', { description: 'Axes to run, separated by commas.' });

  settleMs = Option.String('--settle-ms', DEFAULT_SETTLE_MS);

  windowMs = Option.String('--window-ms', DEFAULT_WINDOW_MS);

  override async execute(): Promise<number> {
    const reports = await runSlopesBench({
      axes: parseAxes(this.axes),
      settleMs: parseMs('--settle-ms', this.settleMs),
      windowMs: parseMs('--window-ms', this.windowMs),
      onPoint: (axis, point) => this.context.stdout.write(`${axis} ${JSON.stringify(point)}\n`),
    });
    this.context.stdout.write(`${JSON.stringify(reports)}\n`);
    return 0;
  }
}
