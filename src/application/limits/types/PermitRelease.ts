/** A permit that a VM gives back to the owner of a server's limit. */
export interface PermitRelease {
  /** Name of the releasing VM; empty if it did not say. */
  readonly sender: string;
  /** Of the permit; empty if the VM did not name it. */
  readonly id: string;
  readonly server: string;
}
