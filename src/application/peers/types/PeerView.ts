import type { PeerRecord } from '../../../domain/membership';

/** This VM's view of another VM, or of itself. */
export interface PeerView extends PeerRecord {
  /** Milliseconds since proof that the VM was alive, or null if there was none in this process. */
  readonly heardAgeMs: number | null;
  /** Whether the platform's list or the table's registrations name the VM. */
  readonly registered: boolean;
  /** Version last reported by the VM, 0 if unknown. */
  readonly configurationVersion: number;
}
