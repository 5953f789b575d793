import { Command, Option } from 'clipanion';
import { parseNumberFlag } from '../../../standins/_lib/parseNumberFlag';
import { runConfigBench } from './runConfigBench';

/** Goal of issue 5 for the time until a version is in force at every entry (99th percentile). */
const GOAL_P99_MS = 2_000;
const MS_PER_S = 1_000;

/** `bench config`: measures how configurations come into force. */
export class ConfigCommand extends Command {
  static override paths = [['config']];

  static override usage = Command.Usage({
    description: 'Measure how configurations come into force.',
    details: `
      Entries under load, two operators who apply at the same moment, lost answers, restarts and
      outages of the table. The last line is one JSON object. Exit code 1: the 99th percentile is
      2 s or more, a version went down, an accepted change was lost, or an idempotent request
      failed in the outage.
    `,
    examples: [
      ['The whole bench', '$0 config'],
      ['A short run', '$0 config --rounds 10 --outage-seconds 6'],
    ],
  });

  entries = Option.String('--entries', '9');

  rounds = Option.String('--rounds', '40');

  outageSeconds = Option.String('--outage-seconds', '30');

  override async execute(): Promise<number> {
    const report = await runConfigBench({
      entries: parseNumberFlag('--entries', this.entries),
      rounds: parseNumberFlag('--rounds', this.rounds),
      outageMs: parseNumberFlag('--outage-seconds', this.outageSeconds) * MS_PER_S,
      writeProgress: (line) => this.context.stderr.write(`${line}\n`),
    });
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
    const { inForceMs, reverts, conflictsLost, requestsFailedInOutage } = report;
    const faults = reverts + conflictsLost + requestsFailedInOutage;
    return inForceMs.p99 < GOAL_P99_MS && faults === 0 ? 0 : 1;
  }
}
