import { Command, Option } from 'clipanion';
import { parseNumberFlag } from '../../../standins/_lib/parseNumberFlag';
import { runRelayBench } from './runRelayBench';

/** Measures the cost of relaying, compared with a direct connection to the engine. */
export class RelayCommand extends Command {
  static override paths = [['relay']];

  static override usage = Command.Usage({
    description: 'Compares tokens per second and processor time of an entry with the engine alone.',
    details: 'The entry is a separate process. The last line is one JSON object.',
    examples: [['100 streams of 300 tokens', '$0 relay --streams 100 --tokens 300 --gap-ms 10']],
  });

  streams = Option.String('--streams', '100');

  tokens = Option.String('--tokens', '300');

  gapMs = Option.String('--gap-ms', '10');

  override async execute(): Promise<number> {
    const report = await runRelayBench({
      streams: parseNumberFlag('--streams', this.streams),
      tokens: parseNumberFlag('--tokens', this.tokens),
      gapMs: parseNumberFlag('--gap-ms', this.gapMs),
    });
    this.context.stdout.write(`${JSON.stringify(report)}\n`);
    return 0;
  }
}
