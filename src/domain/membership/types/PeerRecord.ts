import type { VmRecord } from '../../types';

/** A VM as it tells of itself. */
export interface PeerRecord extends VmRecord {
  /** Grows with each start of the process; the higher one is the living process. */
  readonly incarnation: number;
}
