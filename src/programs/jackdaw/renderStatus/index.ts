import type { LoadedModel } from '../../../domain/types';
import type { Overview, OverviewServer } from '../buildOverview';

const COLUMN_GAP = '  ';

function renderTable(rows: readonly (readonly string[])[]): readonly string[] {
  const widths = (rows[0] ?? []).map((_cell, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
}

function renderModels(models: readonly LoadedModel[]): string {
  if (models.length === 0) return '-';
  return models
    .map(
      ({ model, version, adapter }) => `${model}@${version}${adapter === '' ? '' : `+${adapter}`}`,
    )
    .join(',');
}

function renderServer(server: OverviewServer): readonly string[] {
  const { name, availabilityZone, health, running, waiting, slots } = server;
  const load = `${running}/${slots} +${waiting}`;
  const models = server.asDesired
    ? renderModels(server.actual)
    : `${renderModels(server.actual)} -> ${renderModels(server.desired)}`;
  return [name, availabilityZone, health, load, models];
}

/** Renders the overview as lines for a terminal. */
export function renderStatus(overview: Overview): readonly string[] {
  const { deployment, version, places, services, vms, backendServers, leases } = overview;
  const matchingCount = backendServers.filter((server) => server.asDesired).length;
  return [
    `${deployment}: version ${version}`,
    '',
    `places: ${places.map(({ name, region }) => `${name} (${region})`).join(', ')}`,
    `services: ${services.map(({ name, workClass }) => `${name} (${workClass})`).join(', ')}`,
    ...leases.map(
      ({ region, vm, fencingToken }) =>
        `engine orders in ${region}: ${vm === '' ? 'nobody' : vm} (fencing token ${fencingToken})`,
    ),
    '',
    ...renderTable([
      ['vm', 'address', 'state', 'version', 'running', 'heard by'],
      ...vms.map((vm) => [
        vm.vm,
        vm.peerAddress,
        vm.state,
        vm.version === version ? String(vm.version) : `${vm.version} (lags)`,
        String(vm.running),
        String(vm.heardBy),
      ]),
    ]),
    '',
    `${matchingCount} of ${backendServers.length} backend servers as desired`,
    ...renderTable([
      ['backend server', 'zone', 'health', 'load', 'models (actual -> desired)'],
      ...backendServers.map(renderServer),
    ]),
  ];
}
