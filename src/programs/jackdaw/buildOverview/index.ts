import { listMissingModels } from '../../../domain/order';
import type { LoadedModel } from '../../../domain/types';
import type { VmStatusResult, ProcessStatus } from '../readStatuses';

/** A VM as the overview shows it. */
export interface OverviewVm {
  readonly vm: string;
  readonly peerAddress: string;
  /** `serving`, `draining`, `cut-off` or `no-answer`. */
  readonly state: string;
  readonly version: number;
  readonly running: number;
  /** Number of VMs, among those that answered, that hear this VM. */
  readonly heardBy: number;
}

/** A backend server as the overview shows it. */
export interface OverviewServer {
  readonly name: string;
  readonly availabilityZone: string;
  /** The worst health that any VM reports. */
  readonly health: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly desired: readonly LoadedModel[];
  readonly actual: readonly LoadedModel[];
  /** False if the loaded models differ from the configuration's target, or are unknown. */
  readonly asDesired: boolean;
}

/** Holder of a region's lease on engine orders. */
export interface OverviewLease {
  readonly region: string;
  /** VM of the holder, empty if nobody holds the lease. */
  readonly vm: string;
  readonly fencingToken: number;
}

/** Overview of a deployment, as `jackdaw status` shows it. */
export interface Overview {
  readonly deployment: string;
  /** The highest version in force at any VM. */
  readonly version: number;
  readonly places: readonly { readonly name: string; readonly region: string }[];
  readonly services: readonly {
    readonly name: string;
    readonly kind: string;
    readonly workClass: string;
  }[];
  readonly vms: readonly OverviewVm[];
  readonly backendServers: readonly OverviewServer[];
  readonly leases: readonly OverviewLease[];
}

type ServerStatus = ProcessStatus['backendServers'][number];

/** A VM counts as heard if its last message is younger than this. */
const MAX_HEARD_AGE_MS = 5_000;
const HEALTH_FROM_WORST: readonly string[] = ['dead', 'suspected', 'leaving', 'serving'];

const readState = (status: ProcessStatus): string => {
  if (status.draining) return 'draining';
  return status.cutOff ? 'cut-off' : 'serving';
};

function isHeardIn(status: ProcessStatus, vm: string): boolean {
  const view = status.vms.find((other) => other.vm === vm);
  return view !== undefined && view.heardAgeMs !== null && view.heardAgeMs < MAX_HEARD_AGE_MS;
}

function buildVm(result: VmStatusResult, statuses: readonly ProcessStatus[]): OverviewVm {
  const { vm, peerAddress, status } = result;
  return {
    vm,
    peerAddress,
    state: status === null ? 'no-answer' : readState(status),
    version: status?.configuration?.version ?? 0,
    running: status?.running ?? 0,
    heardBy: statuses.filter((other) => isHeardIn(other, vm)).length,
  };
}

function buildServer(
  name: string,
  statuses: readonly ProcessStatus[],
  desired: readonly LoadedModel[] | null,
): OverviewServer {
  const views = statuses.flatMap((status) =>
    status.backendServers.filter((server) => server.name === name),
  );
  const byHealth = [...views].sort(
    (left, right) =>
      HEALTH_FROM_WORST.indexOf(left.health) - HEALTH_FROM_WORST.indexOf(right.health),
  );
  const report = views.reduce<ServerStatus['report']>((found, view) => found ?? view.report, null);
  const actual = report?.models ?? [];
  const matchesTarget =
    desired !== null &&
    listMissingModels(desired, actual).length === 0 &&
    listMissingModels(actual, desired).length === 0;
  return {
    name,
    availabilityZone: views[0]?.availabilityZone ?? '',
    health: byHealth[0]?.health ?? '',
    running: report?.running ?? 0,
    waiting: report?.waiting ?? 0,
    slots: report?.slots ?? 0,
    desired: desired ?? [],
    actual,
    asDesired: desired === null || matchesTarget,
  };
}

/**
 * Builds the overview of a deployment from the statuses of its VMs.
 *
 * Places, services and targets are taken from the VM with the highest version.
 */
export function buildOverview(
  results: readonly VmStatusResult[],
  leases: readonly OverviewLease[],
): Overview {
  const statuses = results.flatMap(({ status }) => (status === null ? [] : [status]));
  const [newest] = [...statuses].sort(
    (left, right) => (right.configuration?.version ?? 0) - (left.configuration?.version ?? 0),
  );
  const targets = new Map(
    newest?.engineTargets.map((target) => [target.backendServer, target.models]) ?? [],
  );
  return {
    deployment: newest?.deployment ?? '',
    version: newest?.configuration?.version ?? 0,
    places: newest?.places ?? [],
    services: newest?.services ?? [],
    vms: results.map((vm) => buildVm(vm, statuses)),
    backendServers: (newest?.backendServers ?? []).map(({ name }) =>
      buildServer(name, statuses, targets.get(name) ?? null),
    ),
    leases,
  };
}
