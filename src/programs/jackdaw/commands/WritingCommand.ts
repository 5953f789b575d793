import { Option } from 'clipanion';
import { waitForVersion, type VersionProgress } from '../../../application/configuration';
import { checkTableReaders, type ConfigurationRow } from '../../../domain/configuration';
import { countTableReaders } from '../countTableReaders';
import { readEntryStatus } from '../readEntryStatus';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

const MS_PER_S = 1_000;
/** Maximum lagging VMs named on the progress line; the others are counted. */
const MAX_NAMED_VMS = 5;

function renderProgress({ version, vmsTotal, lagging, elapsedMs }: VersionProgress): string {
  const inForce = vmsTotal - lagging.length;
  const named = lagging
    .slice(0, MAX_NAMED_VMS)
    .map((vm) => `${vm.vm} (${vm.version === null ? 'no answer' : `at ${vm.version}`})`);
  const more = lagging.length - named.length;
  const names = [...named, ...(more > 0 ? [`${more} more`] : [])].join(', ');
  const seconds = (elapsedMs / MS_PER_S).toFixed(1);
  if (vmsTotal === 0) {
    return `version ${version}: no entry VM is known; see [vm_list] and [peers] of the settings`;
  }
  return `version ${version}: in force at ${inForce} of ${vmsTotal} VMs after ${seconds} s${
    names === '' ? '' : `; waiting for ${names}`
  }`;
}

/** Base class of the commands that write a version. */
export abstract class WritingCommand extends PlatformCommand {
  comment = Option.String('--comment', '', { description: 'Kept in the history.' });

  wait = Option.Boolean('--wait', false, {
    description: 'Wait until the version is in force on every VM.',
  });

  waitSeconds = Option.String('--wait-seconds', '30', {
    description: 'Timeout of --wait; exit code 5 if VMs still lag.',
  });

  force = Option.Boolean('--force', false, {
    description: 'Apply although fewer than half of the entry VMs read the table.',
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  /** Reads the timeout of `--wait` in milliseconds; null, with a message, if it is invalid. */
  protected readWaitMs(): number | null {
    const seconds = this.parseWholeNumber('--wait-seconds', this.waitSeconds, 1);
    return seconds === null ? null : seconds * MS_PER_S;
  }

  /** Checks whether enough VMs read the table to learn of a change; writes a message if not. */
  protected async hasEnoughTableReaders(platform: OperatorPlatform): Promise<boolean> {
    const result = this.force ? null : checkTableReaders(await countTableReaders(platform));
    if (result?.isErr() !== true) {
      return true;
    }
    const { vmsListed, vmsReading } = result.error;
    this.writeNote(
      `only ${vmsReading} of ${vmsListed} entry VMs answer and read the table; the others may ` +
        'assume that it is down and keep the old configuration. Nothing was written. ' +
        'Apply with --force if you know that they serve nobody',
    );
    return false;
  }

  /** Reports the accepted version and, with `--wait`, waits until it is in force. */
  protected async finish(platform: OperatorPlatform, row: ConfigurationRow): Promise<ExitCode> {
    if (!this.json) {
      this.writeLine(`applied version ${row.version} (apply id ${row.applyId})`);
    }
    const lagging = this.wait ? await this.waitUntilInForce(platform, row.version) : null;
    if (this.json) {
      const { version, applyId } = row;
      this.writeJson({ version, applyId, ...(lagging === null ? {} : { lagging }) });
    }
    return lagging === null || lagging.length === 0 ? ExitCode.Ok : ExitCode.Lagging;
  }

  private async waitUntilInForce(
    platform: OperatorPlatform,
    version: number,
  ): Promise<readonly string[]> {
    const { clock, calls, listEntryVms } = platform;
    const result = await waitForVersion(
      {
        clock,
        listVms: listEntryVms,
        readVersionAt: async (address) => (await readEntryStatus(calls, address))?.version ?? null,
      },
      version,
      {
        timeoutMs: this.readWaitMs() ?? 0,
        onProgress: (progress) => this.writeProgress(renderProgress(progress)),
      },
    );
    this.endProgress();
    return result.match(
      () => [],
      ({ lagging, vmsTotal }) => (vmsTotal === 0 ? ['(no VM known)'] : lagging.map(({ vm }) => vm)),
    );
  }
}
