/**
 * Registration entry of a running backend server. A restarted server has a new id, or its old id
 * and a later start time.
 */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  /** Address as `IP:PORT`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** True if the server accepts no new work and shuts down soon. */
  readonly isLeaving: boolean;
  /** Warm-up time left when the server wrote the entry, in milliseconds. */
  readonly warmupLeftMs: number;
  /** Software version; empty if unknown. */
  readonly version: string;
  /** Increases each time the server writes its entry; 0 if unknown. */
  readonly sequence: number;
  /** Start time in Unix milliseconds; null if unknown. */
  readonly bornMs: number | null;
}
