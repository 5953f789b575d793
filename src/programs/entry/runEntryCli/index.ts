import { Command, Option, type BaseContext } from 'clipanion';
import { formatProblem, readSettingsFile } from '../../../adapters/toml';
import { runServiceCli, SERVICE_EXIT_CODES } from '../../_lib/runServiceCli';
import { waitForSignal } from '../../_lib/waitForSignal';
import { startEntry } from '../startEntry';
import { EntrySettingsSchema, type Entry } from '../types';

/** Serves until a signal or an operator starts a drain, and stops when the drain has ended. */
const runEntry = async (entry: Entry): Promise<void> => {
  const drained = entry.waitForDrain();
  waitForSignal().then(() => entry.drain());
  await drained;
  await entry.stop();
};

class EntryCommand extends Command {
  static override usage = Command.Usage({
    description: 'Serves callers on one VM until SIGTERM, then lets running work end.',
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
      return SERVICE_EXIT_CODES.failed;
    }
    const started = await startEntry(settings.value);
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.reason}\n`);
      return SERVICE_EXIT_CODES.failed;
    }
    await runEntry(started.value);
    return SERVICE_EXIT_CODES.done;
  }
}

/**
 * Runs `jackdaw-entry` with the given arguments until it has shut down.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export const runEntryCli = (
  args: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> =>
  runServiceCli(
    { label: 'jackdawmount entry', name: 'jackdaw-entry', command: EntryCommand },
    args,
    streams,
  );
