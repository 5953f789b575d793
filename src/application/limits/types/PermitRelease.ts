/** A permit that a VM gives back to the owner of a server's limit. */
export interface PermitRelease {
  /** Name of the releasing VM; empty if it did not say. */
  readonly sender: string;
  readonly server: string;
}
