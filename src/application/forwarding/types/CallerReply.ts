import type { AnswerHead } from '../../../domain/forwarding';

/** Why a request got no response from a server. Adapters map each kind to a status code. */
export type RefusalKind =
  /** Nothing ran and nothing will run: the caller may retry. */
  | 'not-run'
  | 'unknown-route'
  | 'unknown-key'
  /** The request may have run, but no response came. */
  | 'lost'
  | 'deadline-passed';

/** A response that this process writes itself. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** When the caller may retry; 0 states no time. */
  readonly retryAfterMs: number;
}

/** The response to one caller. */
export interface CallerReply {
  /** False once the response has ended or the caller has disconnected. */
  isOpen(): boolean;
  /** True once bytes of the response were sent, so that it cannot be another one any more. */
  hasSentHead(): boolean;
  sendRefusal(refusal: Refusal): void;
  /** Counts bytes of an answer that is held for this caller; false if this VM has no room. */
  acquireBytes(bytes: number): boolean;
  /** Sends a fully buffered response of a server. */
  sendResponse(head: AnswerHead, body: Buffer): void;
  /** Begins a response with this head, which is sent with the first bytes of its body. */
  sendHead(head: AnswerHead): void;
  /** Writes a chunk of the body; returns false if the caller should wait for `waitForDrain`. */
  write(bytes: Buffer): boolean;
  waitForDrain(): Promise<void>;
  end(): void;
  /** Closes the connection, so that the response does not look complete. */
  destroy(): void;
  /** Aborts when the caller disconnects before the response has ended. */
  readonly callerLeft: AbortSignal;
}
