import { Builtins, Cli, Command, Option, type BaseContext } from 'clipanion';
import packageFile from '../../../../package.json';
import { formatProblem, readSettingsFile } from '../../../adapters/toml';
import { startEntry } from '../startEntry';
import { EntrySettingsSchema, type Entry } from '../types';

/** Exit codes, as docs/operators/entry.md lists them. */
const EXIT_CODES = { done: 0, failed: 1, usage: 2 } as const;

/** Resolves at the first `SIGTERM` or `SIGINT`. */
const waitForSignal = (): Promise<string> =>
  new Promise((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });

/** Serves until a signal or an operator begins a shutdown, then until all work has ended. */
const runEntry = async (entry: Entry): Promise<void> => {
  const drained = entry.waitForDrain();
  waitForSignal().then(() => entry.drain());
  await drained;
  await entry.stop();
};

class EntryCommand extends Command {
  static override usage = Command.Usage({
    description: 'Serves callers at one VM until SIGTERM, then lets running work end.',
    examples: [['Start with a settings file', '$0 --settings entry.toml']],
  });

  settings = Option.String('--settings', {
    required: true,
    description: 'Settings file in TOML; examples/entry.toml lists every key.',
  });

  override async execute(): Promise<number> {
    const settings = await readSettingsFile(this.settings, EntrySettingsSchema);
    if (settings.isErr()) {
      const lines = settings.error.map((problem) => `${formatProblem(problem)}\n`);
      this.context.stderr.write(lines.join(''));
      return EXIT_CODES.failed;
    }
    const started = await startEntry(settings.value);
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.reason}\n`);
      return EXIT_CODES.failed;
    }
    await runEntry(started.value);
    return EXIT_CODES.done;
  }
}

/**
 * Runs `jackdaw-entry` with the given arguments until it has shut down.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export const runEntryCli = async (
  args: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> => {
  const cli = new Cli({
    binaryLabel: 'jackdawmount entry',
    binaryName: 'jackdaw-entry',
    binaryVersion: packageFile.version,
    enableColors: false,
  });
  [Builtins.HelpCommand, Builtins.VersionCommand, EntryCommand].forEach((command) =>
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
};
