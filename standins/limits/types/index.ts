/** How VMs enforce a limit: the implemented policy and the alternatives it is compared with. */
export const LimitPolicy = {
  /** Each server has an owner VM, and a second VM confirms its permits. This is the policy in use. */
  Confirmed: 'confirmed',
  /** Each server has one owner VM, whose permits need no confirmation. */
  UnconfirmedOwner: 'one-owner',
  /** Each VM enforces an equal share of the limit by itself. */
  EqualShares: 'even-parts',
  /** Each VM enforces the full limit by itself. */
  Uncoordinated: 'alone',
} as const;

export type LimitPolicy = (typeof LimitPolicy)[keyof typeof LimitPolicy];

/** A fault that affects a fraction of the VMs. */
export interface VmFault {
  readonly kind: 'restart' | 'freeze' | 'cut' | 'join';
  readonly fraction: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A simulation, in virtual time, of requests for servers of which some advertise a limit. */
export interface LimitSimulation {
  readonly seed: number;
  readonly vms: number;
  /** Requests per second for each server from all VMs together. */
  readonly requestsPerS: number;
  /** Limit of each server, advertised from `limitFromMs` to `limitUntilMs`. */
  readonly limitsPerS: readonly number[];
  readonly policy?: LimitPolicy;
  readonly faults?: readonly VmFault[];
  readonly limitFromMs?: number;
  readonly limitUntilMs?: number;
  readonly durationMs?: number;
}

/** A request that reached a server. */
export interface LimitArrival {
  readonly atMs: number;
  readonly vm: string;
}

/** Results of the simulation, as the servers observed them. */
export interface LimitSimulationResult {
  /** Arrived requests, by server. */
  readonly arrivals: readonly (readonly LimitArrival[])[];
  /** Tells whether a VM was affected by a fault at a time, or had not yet recovered from one. */
  readonly isAffected: (vm: string, atMs: number) => boolean;
  /** By server: when each VM first received an answer that advertised a limit. */
  readonly limitLearnedAtMs: readonly ReadonlyMap<string, number>[];
  /** Number of permit calls between VMs. */
  readonly calls: number;
}
