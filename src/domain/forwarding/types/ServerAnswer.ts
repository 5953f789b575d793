import type { ServerSignals } from './ServerSignals';

/** Head of a server's answer. */
export interface AnswerHead extends ServerSignals {
  readonly status: number;
  /** Headers that are forwarded, as alternating names and values. */
  readonly forwardedHeaders: readonly string[];
  /** False if the answer lacks the server's signature, or is encoded. */
  readonly isVerified: boolean;
  /** False if the end of the connection ends the body: a truncated body looks complete then. */
  readonly isFramed: boolean;
  /** True if the server states that it did not run the request, and will not run it. */
  readonly isNotExecuted: boolean;
  /** True if another server has the address now. */
  readonly isFromOtherServer: boolean;
  /** Id of the server that answered; null if unknown. */
  readonly serverId: string | null;
  /** Time for which the server asks this VM to send nothing, in milliseconds; 0 if it does not. */
  readonly pauseMs: number;
}
