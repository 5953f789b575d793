import type { ServerLoad } from './ServerLoad';

/** State that a server reports in the head of any answer. */
export interface ServerSignals {
  /** True if the server accepts no new work and shuts down soon. */
  readonly isLeaving: boolean;
  /** Rate limit over all VMs, in requests per second; null if the server has none. */
  readonly limitPerS: number | null;
  /**
   * Rejections per second, over all VMs, above which the server falls over; null if it is not
   * brittle.
   */
  readonly maxRejectionsPerS: number | null;
  /** Load of the server; null if it states none. */
  readonly load: ServerLoad | null;
}
