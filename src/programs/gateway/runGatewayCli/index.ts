import { Command, Option, type BaseContext } from 'clipanion';
import type { EventLog } from '../../../application/ports';
import { runServiceCli, SERVICE_EXIT_CODES } from '../../_lib/runServiceCli';
import { waitForSignal } from '../../_lib/waitForSignal';
import { createGatewayLog } from '../_lib/createGatewayLog';
import { readGatewaySettings } from '../_lib/readGatewaySettings';
import { startGateway } from '../startGateway';

/** Reads the settings at each SIGHUP, so that a wrong file is known before the next start. */
const checkSettingsAtSignal = (file: string, log: EventLog): void => {
  process.on('SIGHUP', () => {
    readGatewaySettings(file).then((read) =>
      read.match(
        ({ vm }) => log.info('settings read again', { vm }),
        (problems) => log.error('settings refused', { reason: problems.join('; ') }),
      ),
    );
  });
};

class GatewayCommand extends Command {
  static override usage = Command.Usage({
    description: "Forwards callers' requests at one VM until SIGTERM, then lets them end.",
    examples: [['Start with the settings file of the platform', '$0 --settings boot.toml']],
  });

  settings = Option.String('--settings', {
    required: true,
    description:
      "Settings file in the platform's format; docs/operators/gateway.md lists its keys.",
  });

  override async execute(): Promise<number> {
    const settings = await readGatewaySettings(this.settings);
    if (settings.isErr()) {
      this.context.stderr.write(settings.error.map((line) => `${line}\n`).join(''));
      return SERVICE_EXIT_CODES.failed;
    }
    const { lines, log } = await createGatewayLog(settings.value.vm);
    const started = await startGateway(settings.value, {
      log,
      countDroppedLines: lines.countDropped,
    });
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.address}: ${started.error.reason}\n`);
      return SERVICE_EXIT_CODES.failed;
    }
    checkSettingsAtSignal(this.settings, log);
    const signal = await waitForSignal();
    log.info('signal received', { signal });
    await started.value.drain();
    await started.value.stop();
    await lines.waitForEmpty();
    return SERVICE_EXIT_CODES.done;
  }
}

/**
 * Runs `jackdaw-gateway` with the given arguments until it has shut down.
 *
 * @param args - arguments after the binary's name
 * @returns the exit code
 */
export const runGatewayCli = (
  args: readonly string[],
  streams: Partial<BaseContext> = {},
): Promise<number> =>
  runServiceCli(
    { label: 'jackdawmount gateway', name: 'jackdaw-gateway', command: GatewayCommand },
    args,
    streams,
  );
