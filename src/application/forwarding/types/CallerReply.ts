import type { AnswerHead } from '../../../domain/forwarding';

/** Why a request got no answer of a server. Adapters turn it into a status. */
export type RefusalKind =
  /** Nothing ran and nothing will: the caller may come back. */
  | 'not-run'
  | 'unknown-route'
  | 'unknown-key'
  /** It may have run; no answer came. */
  | 'lost'
  | 'deadline-passed';

/** An answer of this process's own. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly reason: string;
  /** When to come back; 0 says nothing. */
  readonly retryAfterMs: number;
}

/** The answer to one caller. */
export interface CallerReply {
  /** False once the answer has ended, or the caller has left. */
  isOpen(): boolean;
  /** True once the answer's head was sent. */
  hasSentHead(): boolean;
  sendRefusal(refusal: Refusal): void;
  /** Sends a server's answer, read to its end. */
  sendResponse(head: AnswerHead, body: Buffer): void;
  /** Begins an answer whose body follows in parts. */
  sendHead(head: AnswerHead): void;
  /** Sends a part; false asks to wait before the next one. */
  write(bytes: Buffer): boolean;
  waitForDrain(): Promise<void>;
  end(): void;
  /** Closes the connection, so that the answer doesn't look whole. */
  destroy(): void;
  /** Aborts when the caller leaves before the answer has ended. */
  readonly callerLeft: AbortSignal;
}
