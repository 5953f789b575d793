import type { LoadPart } from '../../../domain/fleet-load';

/** What is known of the requests of all VMs to one service. */
export interface FleetLoadView {
  /** Mean age of what is in it, in milliseconds. */
  readonly ageMs: number;
  /** Running requests of other VMs by id of the server, averaged over the last views. */
  readonly otherRequests: ReadonlyMap<string, number>;
  /** Arrivals per second by availability zone, this VM's included. */
  readonly arrivalsPerS: ReadonlyMap<string, number>;
  /** Time that a call to another availability zone takes longer, if measured, in milliseconds. */
  readonly crossingsMs: ReadonlyMap<string, number>;
}

/** The load of the fleet, as known at this VM; as collector, it sums that of its zone. */
export interface FleetLoad {
  /** Records a request of a caller; costs nothing in services that are not enabled. */
  recordArrival(service: string): void;
  /** Reads the load of a service; null if none is known that is not older than 2 s. */
  readLoad(service: string): FleetLoadView | null;
  /** Lists the loads that are known, by service. */
  listLoads(): ReadonlyMap<string, FleetLoadView>;
  /** Merges the part of a VM of this zone; returns the sum of each zone. */
  handleReport(part: LoadPart): readonly LoadPart[];
  /** Merges the sum of a zone; returns that of this VM's zone, null if this VM collects nothing. */
  handleExchange(zone: LoadPart): LoadPart | null;
  stop(): void;
}
