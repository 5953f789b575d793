import type { PeerRecord } from '../../../domain/membership';

/** What this VM holds of another, or of itself. */
export interface PeerView extends PeerRecord {
  /** Milliseconds since it surely lived, or null if it was not heard since this process started. */
  readonly heardAgeMs: number | null;
  /** True: the platform's list or the table's registrations name it. */
  readonly registered: boolean;
  /** Version in force there as last heard, 0 if unknown. */
  readonly configurationVersion: number;
}
