/** When a server was surely there last, and how long its address stays with its service. */
export interface AddressTimes {
  /** Monotonic time of the last answer that bore its id. */
  readonly lastAnswerAtMs: number;
  readonly nowMs: number;
  /** Addresses go to servers of other services no sooner than this after a server's end. */
  readonly reuseAfterMs: number;
}

/**
 * Tells whether whoever answers at a server's address now is surely of the same service.
 *
 * The server ended no sooner than it answered last, and its address goes to another service only
 * `reuseAfterMs` after its end: until then, another id at the address is the server started again.
 *
 * @example
 * isAddressKept({ aliveAtMs: 1000, nowMs: 2500, reuseAfterMs: 2000 }); // true
 */
export const isAddressReserved = ({ lastAnswerAtMs, nowMs, reuseAfterMs }: AddressTimes): boolean =>
  nowMs - lastAnswerAtMs < reuseAfterMs;
