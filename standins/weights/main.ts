import { Cli, Command, Option } from 'clipanion';
import { parseNumberFlag } from '../_lib/parseNumberFlag';
import { createStandInWeightStore } from './createStandInWeightStore';

/** Runs one stand-in weight store until the process is ended. */
class WeightsCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Serves model weights on 127.0.0.1 and prints its port as a JSON line.',
  });

  port = Option.String('--port', '0');

  fetchesPerWindow = Option.String('--fetches-per-window', '2');

  windowMs = Option.String('--window-ms', '1000');

  async execute(): Promise<void> {
    const store = await createStandInWeightStore({
      port: parseNumberFlag('--port', this.port),
      fetchesPerWindow: parseNumberFlag('--fetches-per-window', this.fetchesPerWindow),
      windowMs: parseNumberFlag('--window-ms', this.windowMs),
    });
    this.context.stdout.write(`${JSON.stringify({ event: 'listening', port: store.port })}\n`);
  }
}

await Cli.from(WeightsCommand, { binaryName: 'standin-weights' }).runExit(process.argv.slice(2));
