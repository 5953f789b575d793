import { Option } from 'clipanion';
import { waitForVersion, type VersionProgress } from '../../../application/configuration';
import { checkTableReaders, type ConfigurationRow } from '../../../domain/configuration';
import { countTableReaders } from '../countTableReaders';
import { readEntryStatus } from '../readEntryStatus';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

const MS_PER_S = 1_000;
/** Lagging VMs named on the progress line; the rest is counted. */
const MAX_NAMED_VMS = 5;

function renderProgress({ version, vmsTotal, lagging, elapsedMs }: VersionProgress): string {
  const inForce = vmsTotal - lagging.length;
  const named = lagging
    .slice(0, MAX_NAMED_VMS)
    .map((held) => `${held.vm} (${held.version === null ? 'no answer' : `at ${held.version}`})`);
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

/** Base of the commands that write a version. */
export abstract class WritingCommand extends PlatformCommand {
  comment = Option.String('--comment', '', { description: 'Kept in the history.' });

  wait = Option.Boolean('--wait', false, {
    description: 'Wait until the version is in force on every VM.',
  });

  waitSeconds = Option.String('--wait-seconds', '30', {
    description: 'Bound on the wait; exit code 5 if VMs lag by then.',
  });

  force = Option.Boolean('--force', false, {
    description: 'Apply although fewer than half of the entry VMs read the table.',
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  /** Gives the bound on the wait in milliseconds; null, with a note, if the option is bad. */
  protected readWaitMs(): number | null {
    const seconds = this.parseWholeNumber('--wait-seconds', this.waitSeconds, 1);
    return seconds === null ? null : seconds * MS_PER_S;
  }

  /** Tells whether enough VMs would learn of a change; writes a note if not. */
  protected async hasEnoughTableReaders(platform: OperatorPlatform): Promise<boolean> {
    const checked = this.force ? null : checkTableReaders(await countTableReaders(platform));
    if (checked?.isErr() !== true) {
      return true;
    }
    const { vmsListed, vmsReading } = checked.error;
    this.writeNote(
      `only ${vmsReading} of ${vmsListed} entry VMs answer and read the table; the others may ` +
        'take it to be down and go on with the old configuration. Nothing was written. ' +
        'Apply with --force if you know that they serve nobody',
    );
    return false;
  }

  /** Reports the accepted version and, if asked for, waits until it is in force. */
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
    const waited = await waitForVersion(
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
    return waited.match(
      () => [],
      ({ lagging, vmsTotal }) => (vmsTotal === 0 ? ['(no VM known)'] : lagging.map(({ vm }) => vm)),
    );
  }
}
