import { readFile } from 'node:fs/promises';
import { write } from 'node:fs';
import { Command, Option, type BaseContext } from 'clipanion';
import { createEventLog, createLineQueue, createRoarrLogger } from '../../../adapters/log';
import { decodeSettings } from '../../../../platform';
import type { EventLog } from '../../../application/ports';
import type { GatewaySettings } from '../../../domain/forwarding';
import { runServiceCli, SERVICE_EXIT_CODES } from '../../_lib/runServiceCli';
import { waitForSignal } from '../../_lib/waitForSignal';
import { startGateway } from '../startGateway';

/** Log lines that may wait for standard output, in characters: about 5000 lines. */
const MAX_WAITING_CHARACTERS = 1_500_000;

const STANDARD_OUTPUT = 1;

const lines = createLineQueue({
  maxCharacters: MAX_WAITING_CHARACTERS,
  buildDropLine: (dropped) => `${JSON.stringify({ message: 'log lines dropped', dropped })}\n`,
  write: (text, done) => {
    // Not by `process.stdout`: its writes to a pipe block the process while nobody reads.
    const bytes = Buffer.from(text);
    const writeFrom = (offset: number): void =>
      write(STANDARD_OUTPUT, bytes, offset, bytes.length - offset, null, (error, written) => {
        if (error && error.code === 'EAGAIN') {
          setTimeout(() => writeFrom(offset), 5);
        } else if (error || offset + written >= bytes.length) done();
        else writeFrom(offset + written);
      });
    writeFrom(0);
  },
});

const createLog = async (vm: string): Promise<EventLog> => {
  const logger = await createRoarrLogger('jackdaw-gateway');
  Object.assign((globalThis as { ROARR?: object }).ROARR ?? {}, { write: lines.push });
  return createEventLog(logger.child({ vm }));
};

const readSettings = async (file: string): Promise<GatewaySettings | readonly string[]> => {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    return [`${file}: ${error instanceof Error ? error.message : 'cannot be read'}`];
  }
  const settings = decodeSettings(text);
  return settings.match(
    (value): GatewaySettings | readonly string[] => value,
    (problems) => problems.map(({ key, reason }) => `${file}: ${key || 'file'}: ${reason}`),
  );
};

const isProblems = (read: GatewaySettings | readonly string[]): read is readonly string[] =>
  Array.isArray(read);

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
    const settings = await readSettings(this.settings);
    if (isProblems(settings)) {
      this.context.stderr.write(settings.map((line) => `${line}\n`).join(''));
      return SERVICE_EXIT_CODES.failed;
    }
    const log = await createLog(settings.vm);
    const started = await startGateway(settings, {
      log,
      countDroppedLines: lines.countDropped,
    });
    if (started.isErr()) {
      this.context.stderr.write(`${started.error.address}: ${started.error.reason}\n`);
      return SERVICE_EXIT_CODES.failed;
    }
    process.on('SIGHUP', () => {
      readSettings(this.settings).then((read) => {
        if (isProblems(read)) log.error('settings refused', { reason: read.join('; ') });
        else log.info('settings read again', { vm: read.vm });
      });
    });
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
