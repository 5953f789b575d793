import type { ServerSignals } from './ServerSignals';

/** Load that a server tells with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What a server's answer says before its body. */
export interface AnswerHead extends ServerSignals {
  readonly status: number;
  /** Headers that are handed on: name, value, name, value. */
  readonly forwardedHeaders: readonly string[];
  /** False: without the server's signature, in an encoding, or of another request. */
  readonly isVerified: boolean;
  /** False: its body ends with its connection, so that a cut one can't be told from a whole one. */
  readonly isFramed: boolean;
  /** True: the server says that it did not run the request, and won't. */
  readonly isNotExecuted: boolean;
  /** True: another server has the address now. */
  readonly isFromOtherServer: boolean;
  /** Id of the server that answered, where it says so. */
  readonly serverId: string | null;
  readonly load: ServerLoad | null;
  /** For how long the server wants nothing of this VM, in milliseconds; 0 if it does not say so. */
  readonly pauseMs: number;
}
