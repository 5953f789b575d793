/** What a VM asks of one that keeps a server's limit. */
export interface PermitRequest {
  /** Name of the VM that asks. */
  readonly sender: string;
  readonly server: string;
  /** Requests a second that the server takes, as the sender knows it. */
  readonly limitPerS: number;
  /** How long ago the sender sent requests there that the owner does not know of, in milliseconds. */
  readonly sentAgesMs: readonly number[];
  /** True: another owner has granted it. */
  readonly isConfirmation: boolean;
}
