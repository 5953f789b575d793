/** Input of the rule that decides whether this VM's configuration is fresh. */
export interface PeerFreshness {
  /** Age of the newest known table read by any VM, in milliseconds, or null if none is known. */
  readonly newestReadAgeMs: number | null;
  /** Number of VMs heard of recently, including this one. */
  readonly vmsHeard: number;
  /** Number of VMs named by the list, the registrations or peers, including this one. */
  readonly vmsRegistered: number;
}
