/** Load that a server tells with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What a server's answer says before its body. */
export interface AnswerHead {
  readonly status: number;
  /** Headers that are handed on: name, value, name, value. */
  readonly passedHeaders: readonly string[];
  /** False: without the server's signature, in an encoding, or of another request. */
  readonly isGenuine: boolean;
  /** False: its body ends with its connection, so that a cut one can't be told from a whole one. */
  readonly isFramed: boolean;
  /** True: the server says that it did not run the request, and won't. */
  readonly isNotRun: boolean;
  /** Id of another server that has the address now, if the answer says so. */
  readonly isOtherServer: boolean;
  readonly load: ServerLoad | null;
}
