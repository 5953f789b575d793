/** Load of one service, as seen by one VM or by all of a zone. */
export interface ServiceLoad {
  readonly service: string;
  /** Arrivals per second. */
  readonly arrivalsPerS: number;
  /** Running requests by id of the backend server. */
  readonly requestsByServer: ReadonlyMap<string, number>;
}

/** A part of the fleet's load: that of one VM, or the sum over the VMs of an availability zone. */
export interface LoadPart {
  /** VM that stated it. */
  readonly vm: string;
  /** Start time of the VM's process in Unix milliseconds. */
  readonly incarnation: number;
  /** Increases with each part of this incarnation. */
  readonly sequence: number;
  readonly availabilityZone: string;
  /** Number of VMs in the sum. */
  readonly vms: number;
  /** Mean age of what is in it when it was stated, in milliseconds. */
  readonly ageMs: number;
  /** Round trip from the receiver's zone to this one in milliseconds; null if not measured. */
  readonly roundTripMs: number | null;
  /** Servers that were left out, as the message would have been too long. */
  readonly omittedServers: number;
  readonly services: readonly ServiceLoad[];
}
