/** What a server says of itself in the head of any answer. */
export interface ServerSignals {
  /** True: it takes no new work and will be gone soon. */
  readonly isLeaving: boolean;
  /** Requests a second that it takes from all VMs together; null if it names no limit. */
  readonly limitPerS: number | null;
}
