/** A VM's request to the owner of a server's limit. */
export interface PermitRequest {
  /** Name of the requesting VM. */
  readonly sender: string;
  /** Names the permit when it is released; empty if the VM did not name it. */
  readonly id: string;
  readonly server: string;
  /** Requests per second that the server takes, as known to the sender. */
  readonly limitPerS: number;
  /** Ages, in milliseconds, of requests that the sender sent and the owner does not know of. */
  readonly sentAgesMs: readonly number[];
  /** True if another owner has granted the permit already. */
  readonly isConfirmation: boolean;
}
