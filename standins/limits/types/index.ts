/** How VMs keep a limit: the way that stands, and those that it is compared with. */
export const LimitPolicy = {
  /** A owner for each server, and a second one that confirms. */
  Confirmed: 'confirmed',
  /** One owner, whom nobody confirms. */
  UnconfirmedOwner: 'one-owner',
  /** Each VM keeps to its even part. */
  EqualShares: 'even-parts',
  /** Each VM keeps to the whole limit by itself. */
  Uncoordinated: 'alone',
} as const;

export type LimitPolicy = (typeof LimitPolicy)[keyof typeof LimitPolicy];

/** What happens to VMs, as part of all of them. */
export interface VmFault {
  readonly kind: 'restart' | 'freeze' | 'cut' | 'join';
  readonly fraction: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Requests for servers of which some name a limit, in virtual time. */
export interface LimitSimulation {
  readonly seed: number;
  readonly vms: number;
  /** Requests a second for each server from all VMs together. */
  readonly requestsPerS: number;
  /** Limit of each server, from `limitFromMs` to `limitUntilMs`. */
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

/** What servers saw. */
export interface LimitSimulationResult {
  /** By server. */
  readonly arrivals: readonly (readonly LimitArrival[])[];
  /** VMs that were in trouble, or had just been, at some time. */
  readonly isAffected: (vm: string, atMs: number) => boolean;
  /** By server: when each VM first got an answer that named a limit. */
  readonly limitLearnedAtMs: readonly ReadonlyMap<string, number>[];
  /** Calls from VM to VM for permits. */
  readonly calls: number;
}
