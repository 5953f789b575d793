/** Rate limit of a server as VMs exchange it. */
export interface SharedLimit {
  readonly server: string;
  /** Rate limit over all VMs, in requests per second; null if the server dropped its limit. */
  readonly limitPerS: number | null;
  /** Time since the server announced the limit, in milliseconds. */
  readonly ageMs: number;
}
