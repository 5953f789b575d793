/** Times that decide whether a server's address is still reserved for its service. */
export interface AddressTimes {
  /** Earliest monotonic time at which the last answer with the server's id can have been sent. */
  readonly lastAnswerAtMs: number;
  readonly nowMs: number;
  /** Shortest time from the end of a server until another service may get its address. */
  readonly reuseAfterMs: number;
}

/**
 * Tells whether any server that answers at the address now must belong to the same service.
 *
 * The server was alive at its last answer, and its address goes to another service at the earliest
 * `reuseAfterMs` after its end. Until then, a new id at the address means that the server
 * restarted.
 *
 * @example
 * isAddressReserved({ lastAnswerAtMs: 1000, nowMs: 2500, reuseAfterMs: 2000 }); // true
 */
export const isAddressReserved = ({ lastAnswerAtMs, nowMs, reuseAfterMs }: AddressTimes): boolean =>
  nowMs - lastAnswerAtMs < reuseAfterMs;
