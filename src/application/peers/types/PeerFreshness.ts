/** What the freshness rule of the configuration needs to know. */
export interface PeerFreshness {
  /** Age of the newest table read by any VM in reach, in milliseconds, or null if none is known. */
  readonly newestReadAgeMs: number | null;
  /** VMs heard lately, with this one. */
  readonly vmsHeard: number;
  /** VMs that the list, the registrations or peers name, with this one. */
  readonly vmsRegistered: number;
}
