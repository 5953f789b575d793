import { Command, Option, type BaseContext } from 'clipanion';
import { formatProblem, readSettingsFile } from '../../../adapters/toml';
import { runServiceCli, SERVICE_EXIT_CODES } from '../../_lib/runServiceCli';
import { waitForSignal } from '../../_lib/waitForSignal';
import { startKeeper } from '../startKeeper';
import { KeeperSettingsSchema } from '../types';

class KeeperCommand extends Command {
  static override usage = Command.Usage({
    description: 'Brings the engines of its region to the configured state, under a lease.',
    details: `
      One keeper per region holds the lease; the others wait. SIGTERM releases the lease.
      Exit code 0: stopped by a signal; 1: invalid settings, or cannot listen on the address;
      2: invalid command line.
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
      return SERVICE_EXIT_CODES.failed;
    }
    const started = await startKeeper(settings.value);
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.reason}\n`);
      return SERVICE_EXIT_CODES.failed;
    }
    await waitForSignal();
    await started.value.stop();
    return SERVICE_EXIT_CODES.done;
  }
}

/**
 * Runs `jackdaw-keeper` with the given arguments until a signal stops it.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export const runKeeperCli = (
  args: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> =>
  runServiceCli(
    { label: 'jackdawmount keeper', name: 'jackdaw-keeper', command: KeeperCommand },
    args,
    streams,
  );
