/** Evidence from which a VM decides whether its configuration is up to date. */
export interface FreshnessEvidence {
  /** Age of the newest table read by this VM or a VM in contact with it; null if none is known. */
  readonly newestReadAgeMs: number | null;
  /** Number of VMs from which news arrived recently, including this VM. */
  readonly vmsHeard: number;
  /** Number of VMs named by the platform, the registrations or peers, including this VM. */
  readonly vmsRegistered: number;
  /** Time since a version higher than the one in force became known; 0 if none is known. */
  readonly behindMs: number;
}
