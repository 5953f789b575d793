/** Limits of a server as VMs exchange it. */
export interface SharedLimit {
  readonly server: string;
  /** Rate limit over all VMs, in requests per second; null if the server dropped its limit. */
  readonly limitPerS: number | null;
  /** Rejections per second above which the server falls over; null if it is not brittle. */
  readonly maxRejectionsPerS: number | null;
  /** Time since the server announced them, in milliseconds. */
  readonly ageMs: number;
}
