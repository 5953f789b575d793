/** What a VM knows of how current its configuration is. */
export interface FreshnessEvidence {
  /** Age of the newest table read by this VM or any VM that it hears; null if none is known. */
  readonly newestReadAgeMs: number | null;
  /** VMs heard lately, with this one. */
  readonly vmsHeard: number;
  /** VMs that the platform's list, the registrations or peers name, with this one. */
  readonly vmsRegistered: number;
  /** How long a higher version than the one in force here has been known; 0 if none is. */
  readonly behindMs: number;
}
