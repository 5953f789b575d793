import { Command, Option, type BaseContext } from 'clipanion';
import { createSystemClock } from '../../../adapters/system';
import { runServiceCli, SERVICE_EXIT_CODES } from '../../_lib/runServiceCli';
import { waitForSignal } from '../../_lib/waitForSignal';
import { createGatewayLog } from '../_lib/createGatewayLog';
import { readGatewaySettings } from '../_lib/readGatewaySettings';
import { startSettingsWatch } from '../_lib/startSettingsWatch';
import { startGateway } from '../startGateway';

class GatewayCommand extends Command {
  static override usage = Command.Usage({
    description:
      "Forwards callers' requests on one VM until SIGTERM, then lets running requests end.",
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
      countDroppedLines: lines.countDroppedLines,
    });
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.address}: ${started.error.reason}\n`);
      return SERVICE_EXIT_CODES.failed;
    }
    const watch = startSettingsWatch({
      file: this.settings,
      settings: settings.value,
      clock: createSystemClock(),
      log,
      applySettings: started.value.applySettings,
    });
    process.on('SIGHUP', () => {
      log.info('signal received', { signal: 'SIGHUP' });
      watch.readNow();
    });
    const signal = await waitForSignal();
    log.info('signal received', { signal });
    watch.stop();
    await started.value.drain();
    await started.value.stop();
    await lines.waitUntilEmpty();
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
