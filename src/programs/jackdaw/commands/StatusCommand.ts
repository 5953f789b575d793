import { Command, Option } from 'clipanion';
import { LEASE_PARTITION } from '../../../application/lease';
import { decodeLeaseRow } from '../../../domain/lease';
import { buildOverview, type OverviewLease } from '../buildOverview';
import { readStatuses } from '../readStatuses';
import { renderStatus } from '../renderStatus';
import { ExitCode, type OperatorPlatform } from '../types';
import { PlatformCommand } from './PlatformCommand';

async function readLease(
  { table }: OperatorPlatform,
  region: string,
): Promise<readonly OverviewLease[]> {
  const read = await table.readItem(LEASE_PARTITION, region);
  const item = read.unwrapOr(null);
  if (item === null) return [];
  return decodeLeaseRow(item.body, item.revision).match(
    ({ holder, vm, revision }) => [{ region, vm: holder === '' ? '' : vm, fencingToken: revision }],
    () => [],
  );
}

/** `jackdaw status`: shows the state of VMs, backend servers and leases. */
export class StatusCommand extends PlatformCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Show places, services, VMs, backend servers and the holder of each lease.',
    details: `
      Asks every entry VM of the platform's list and of the settings. A backend server whose models
      differ from the configuration is shown with its actual and its desired models.
      Exit code 0: at least one VM answered; 4: none did.
    `,
    examples: [
      ['Show the deployment', 'jackdaw status --settings jackdaw.toml'],
      ['Versions in force for a script', 'jackdaw status --json | jq ".vms[] | {vm, version}"'],
    ],
  });

  json = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  protected override async executeOn(platform: OperatorPlatform): Promise<ExitCode> {
    const results = await readStatuses(platform.calls, await platform.listEntryVms());
    results
      .filter(({ status }) => status === null)
      .forEach(({ vm, reason }) => this.writeNote(`${vm} did not answer: ${reason}`));
    const places = results.flatMap(({ status }) => status?.places ?? []);
    const regions = [...new Set(places.map(({ region }) => region))];
    const leases = await Promise.all(regions.map((region) => readLease(platform, region)));
    const overview = buildOverview(results, leases.flat());
    if (this.json) {
      this.writeJson(overview);
    } else {
      renderStatus(overview).forEach((line) => this.writeLine(line));
    }
    return results.some(({ status }) => status !== null) ? ExitCode.Ok : ExitCode.Unreachable;
  }
}
