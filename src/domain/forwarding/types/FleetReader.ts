import type { ServerEntry } from './ServerEntry';

/** Reads the requests of all VMs to a service, as last told by its collectors. */
export interface FleetReader {
  /** Age of the view in milliseconds. */
  readonly ageMs: number;
  /** Counts the running requests of other VMs at a server. */
  readonly countOthers: (server: ServerEntry) => number;
  /** Time that a call to a zone takes longer, in usual durations of a call; null if not measured. */
  readonly readCrossingCost: (availabilityZone: string) => number | null;
}
