/** Faults of a stand-in plain service, each for a number of calls. */
export const PlainFault = {
  /** The call runs, but its connection breaks before the answer. */
  DropAnswer: 'drop-answer',
  /** The call runs at once; its answer is held until released. */
  Delay: 'delay',
  /** The call does not run: 503 with `Retry-After`. */
  Refuse: 'refuse',
  /** The call does not run: its connection breaks. */
  DropRequest: 'drop-request',
  /** The call runs and answers 500. */
  Fail: 'fail',
} as const;

/** One of the faults. */
export type PlainFault = (typeof PlainFault)[keyof typeof PlainFault];
