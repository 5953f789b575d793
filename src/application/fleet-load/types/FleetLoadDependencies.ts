import type { CollectorCandidate, LoadPart } from '../../../domain/fleet-load';
import type { Clock, EventLog, Randomness } from '../../ports';

/** Another VM. */
export interface FleetLoadPeer extends CollectorCandidate {
  readonly address: string;
}

/** Calls to other VMs; null if the VM does not answer. */
export interface FleetLoadCalls {
  readonly reportLoad: (address: string, part: LoadPart) => Promise<readonly LoadPart[] | null>;
  /** The answer has no zone if the VM collects nothing. */
  readonly exchangeLoad: (
    address: string,
    zone: LoadPart,
  ) => Promise<{ readonly zone: LoadPart | null } | null>;
}

/** Dependencies of the load of the fleet. */
export interface FleetLoadDependencies {
  readonly self: CollectorCandidate;
  /** Lists the other VMs heard of recently. */
  readonly listPeers: () => readonly FleetLoadPeer[];
  readonly calls: FleetLoadCalls;
  /** Reads the running requests of this VM at the servers of a service. */
  readonly readRequests: (service: string) => ReadonlyMap<string, number>;
  /** Whether the load of the service is shared. */
  readonly isEnabled: (service: string) => boolean;
  readonly clock: Clock;
  readonly randomness: Pick<Randomness, 'readFraction'>;
  readonly log: EventLog;
}
