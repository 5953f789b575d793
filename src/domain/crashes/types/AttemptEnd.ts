/** How the connection to a server ended under an attempt, as the VM that held it saw it. */
export type ConnectionEnd =
  /** The response was complete by its length or chunks. */
  | 'complete'
  /**
   * The server closed the connection in order: in a response, before it, or at the end of one that
   * has neither a length nor chunks.
   */
  | 'closed'
  /** The connection was reset, or failed in another way. */
  | 'reset'
  /** The server sent nothing for too long, and the VM closed the connection. */
  | 'silent'
  /** The VM closed the connection for another reason. */
  | 'dropped'
  /** An answer to another request came; the VM closed the connection. */
  | 'out-of-step'
  /** No byte of the request was sent to the server. */
  | 'unsent'
  /** The VM that held the connection, or the connection to that VM, failed. */
  | 'unseen';

/**
 * How far a response had come; `whole`: as far as can be told from its body. A call has no events.
 */
export type AttemptProgress = 'none' | 'head' | 'events' | 'whole';

/** How an attempt to run a request on a server ended. */
export interface AttemptEnd {
  readonly connection: ConnectionEnd;
  /** VM that held the connection to the server; null if it was this one. */
  readonly relay: string | null;
  readonly progress: AttemptProgress;
  /** When the request was sent to the server, in monotonic milliseconds of this process. */
  readonly sentAtMs: number;
  /**
   * When the server began to run the request, as far as known: at the head, else at the sending.
   * Monotonic milliseconds of this process.
   */
  readonly beganAtMs: number;
  /** Earliest time at which it can have sent what was last read of it, on the same clock. */
  readonly heardSinceMs: number;
  /** When the end was seen, on the same clock. */
  readonly endedAtMs: number;
}
