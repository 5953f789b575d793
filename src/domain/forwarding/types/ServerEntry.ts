/**
 * One running backend server, as it registered itself. A restarted server has a new id, or the old
 * one and a later birth.
 */
export interface ServerEntry {
  readonly id: string;
  readonly service: string;
  /** IP:PORT. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** True: it takes no new work and will be gone soon. */
  readonly isLeaving: boolean;
  /** How much longer it is slow after its start, in milliseconds, when it wrote the entry. */
  readonly warmupLeftMs: number;
  /** Version of its software; empty if it does not tell. */
  readonly version: string;
  /** Grows each time that it writes its entry; 0 if it does not tell. */
  readonly sequence: number;
  /** When it started, in Unix milliseconds; null if it does not tell. */
  readonly bornMs: number | null;
}
