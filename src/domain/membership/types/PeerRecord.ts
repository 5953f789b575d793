import type { VmRecord } from '../../types';

/** The record that a VM publishes about itself. */
export interface PeerRecord extends VmRecord {
  /** Increases with each start of the process; the highest one is the current process. */
  readonly incarnation: number;
}
