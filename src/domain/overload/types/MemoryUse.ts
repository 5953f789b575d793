/** What bytes are held for; each use has its own limit. */
export const MemoryUse = {
  /** Requests for streams, which hold memory for seconds. */
  Stream: 'stream',
  /** Requests for calls. */
  Call: 'call',
  /** Answers of servers to requests that have been sent. */
  Answer: 'answer',
  /** What an answer has beyond a usual size: answers without end must leave room for others. */
  LargeAnswer: 'large-answer',
} as const;

/** What bytes are held for. */
export type MemoryUse = (typeof MemoryUse)[keyof typeof MemoryUse];

/**
 * Highest number of bytes held in all at which bytes of a use are still taken; of large answers, the
 * highest number that they hold themselves.
 */
export type MemoryLimits = Readonly<Record<MemoryUse, number>>;
