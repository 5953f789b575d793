import { Cli, Command, Option } from 'clipanion';
import { parseNumberFlag } from '../_lib/parseNumberFlag';
import { createStandInPlainService } from './createStandInPlainService';

const EXIT_CODE_KILLED = 137;

/** Runs one stand-in plain service until the process is ended. */
class PlainCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Serves any call on 127.0.0.1 and prints its port as a JSON line.',
  });

  port = Option.String('--port', '0');

  async execute(): Promise<void> {
    const service = await createStandInPlainService({
      port: parseNumberFlag('--port', this.port),
      handleKill: () => process.exit(EXIT_CODE_KILLED),
    });
    this.context.stdout.write(`${JSON.stringify({ event: 'listening', port: service.port })}\n`);
  }
}

await Cli.from(PlainCommand, { binaryName: 'standin-plain' }).runExit(process.argv.slice(2));
