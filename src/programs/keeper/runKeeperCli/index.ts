import { Builtins, Cli, Command, Option, type BaseContext } from 'clipanion';
import packageFile from '../../../../package.json';
import { formatProblem, readSettingsFile } from '../../../adapters/toml';
import { startKeeper } from '../startKeeper';
import { KeeperSettingsSchema } from '../types';

/** Exit codes, as docs/operators/keeper.md lists them. */
const EXIT_CODES = { done: 0, failed: 1, usage: 2 } as const;

/** Resolves at the first `SIGTERM` or `SIGINT`. */
const waitForSignal = (): Promise<string> =>
  new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });

class KeeperCommand extends Command {
  static override usage = Command.Usage({
    description: 'Brings the engines of its region to the configured state, under a lease.',
    details: `
      One keeper a region holds the lease; the others wait. SIGTERM gives the lease up.
      Exit code 0: stopped by a signal; 1: wrong settings, or the address can't be had; 2: wrong
      command line.
    `,
    examples: [['Start with a settings file', '$0 --settings keeper.toml']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file in TOML; examples/keeper.toml lists every key.',
  });

  override async execute(): Promise<number> {
    const settings = await readSettingsFile(this.settings, KeeperSettingsSchema);
    if (settings.isErr()) {
      const lines = settings.error.map((problem) => `${formatProblem(problem)}\n`);
      this.context.stderr.write(lines.join(''));
      return EXIT_CODES.failed;
    }
    const started = await startKeeper(settings.value);
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.reason}\n`);
      return EXIT_CODES.failed;
    }
    await waitForSignal();
    await started.value.stop();
    return EXIT_CODES.done;
  }
}

/**
 * Runs `jackdaw-keeper` with the given arguments until a signal stops it.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export async function runKeeperCli(
  args: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'jackdawmount keeper',
    binaryName: 'jackdaw-keeper',
    binaryVersion: packageFile.version,
    enableColors: false,
  });
  [Builtins.HelpCommand, Builtins.VersionCommand, KeeperCommand].forEach((command) =>
    cli.register(command),
  );
  const context = { ...Cli.defaultContext, ...streams };
  try {
    return await cli.run(cli.process([...args], context), context);
  } catch (error) {
    // Only a wrong command line is thrown here.
    context.stderr.write(cli.error(error, { colored: false }));
    return EXIT_CODES.usage;
  }
}
