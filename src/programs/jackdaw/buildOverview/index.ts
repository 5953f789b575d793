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
  /** VMs that hear it, of those that answered. */
  readonly heardBy: number;
}

/** A backend server as the overview shows it. */
export interface OverviewServer {
  readonly name: string;
  readonly availabilityZone: string;
  /** The worst health that any VM sees. */
  readonly health: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly desired: readonly LoadedModel[];
  readonly actual: readonly LoadedModel[];
  /** False: it holds something else than the configuration's target, or says nothing. */
  readonly asDesired: boolean;
}

/** Holder of a region's lease on engine orders. */
export interface OverviewLease {
  readonly region: string;
  /** Empty: nobody holds it. */
  readonly vm: string;
  readonly fencingToken: number;
}

/** What `jackdaw status` shows. */
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

/** A VM counts as heard if it was heard within this time. */
const HEARD_LIMIT_MS = 5_000;
const HEALTH_ORDER: readonly string[] = ['dead', 'suspected', 'leaving', 'serving'];

const readState = (status: ProcessStatus): string => {
  if (status.draining) return 'draining';
  return status.cutOff ? 'cut-off' : 'serving';
};

function isHeardIn(status: ProcessStatus, vm: string): boolean {
  const view = status.vms.find((other) => other.vm === vm);
  return view !== undefined && view.heardAgeMs !== null && view.heardAgeMs < HEARD_LIMIT_MS;
}

function buildVm(asked: VmStatusResult, statuses: readonly ProcessStatus[]): OverviewVm {
  const { vm, peerAddress, status } = asked;
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
    (left, right) => HEALTH_ORDER.indexOf(left.health) - HEALTH_ORDER.indexOf(right.health),
  );
  const report = views.reduce<ServerStatus['report']>((held, view) => held ?? view.report, null);
  const actual = report?.models ?? [];
  const isSame =
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
    asDesired: desired === null || isSame,
  };
}

/**
 * Builds the overview of a deployment from what its VMs said.
 *
 * Places, services and targets are those of the VM with the highest version.
 */
export function buildOverview(
  asked: readonly VmStatusResult[],
  leases: readonly OverviewLease[],
): Overview {
  const statuses = asked.flatMap(({ status }) => (status === null ? [] : [status]));
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
    vms: asked.map((vm) => buildVm(vm, statuses)),
    backendServers: (newest?.backendServers ?? []).map(({ name }) =>
      buildServer(name, statuses, targets.get(name) ?? null),
    ),
    leases,
  };
}
