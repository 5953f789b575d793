import type { Result } from 'neverthrow';
import type {
  AnswerHead,
  ForwardedRequest,
  ServerEntry,
  ServerReport,
  ServerSignals,
} from '../../domain/forwarding';

/** Where a copy of a run's KV memory lies. */
export interface KvCopy {
  /** IP:PORT of the server that knows the handle: the copy's holder, or the one it was made at. */
  readonly address: string;
  readonly handle: string;
}

/** One attempt of a request at one server. */
export interface AttemptRequest {
  readonly server: ServerEntry;
  readonly request: ForwardedRequest;
  /** Null: the route needs no key. */
  readonly workspace: string | null;
  /** Rank among the requests that wait at the server, 0 to 9; 0 is the most urgent. */
  readonly priority: number;
  /** What is left of the caller's time. */
  readonly remainingMs: number;
  /** The stream goes on after this event; null for a new one. */
  readonly lastEventId: number | null;
  /** Server to which the run's KV memory is copied as it grows; null for none. */
  readonly backupAddress: string | null;
  /** Copy from which the run goes on; null to read the prompt. */
  readonly copy: KvCopy | null;
  /** True: on a connection made for it. One that was idle may be dead: what is sent on it is lost. */
  readonly newConnection: boolean;
}

/** An answer whose body is still arriving. */
export interface AttemptAnswer {
  readonly head: AnswerHead;
  /** Throws if the answer breaks off. */
  readonly body: AsyncIterable<Buffer>;
}

/** Failure of an attempt before its answer's head. */
export type AttemptError =
  /** Surely no byte of it was sent. */
  | { readonly kind: 'not-started'; readonly reason: string }
  /** It was sent, or may have been. */
  | { readonly kind: 'broken'; readonly reason: string }
  | { readonly kind: 'cancelled'; readonly sent: boolean };

/** Why a run could not be copied. */
export interface CopyError {
  readonly reason: string;
  /** The memory that the server itself kept of a run which it had stopped already, if any. */
  readonly kept: KvCopy | null;
}

/** Who serves at an address. */
export interface ServerIdentity extends ServerSignals {
  readonly id: string;
}

/** Calls to backend servers. Sends each attempt once: repeating is the caller's decision. */
export interface ForwardClient {
  /** An abort of `signal` closes the connection at once, at any time until the body has ended. */
  sendAttempt(
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<Result<AttemptAnswer, AttemptError>>;
  /**
   * Copies the KV memory of a run to another server; called again, only what is new is copied.
   *
   * @param options.stops - the run ends first, so that the copy is whole
   * @returns where to go on from
   */
  copyRun(
    from: ServerEntry,
    runId: string,
    to: ServerEntry,
    options: { readonly stops: boolean },
  ): Promise<Result<KvCopy, CopyError>>;
  /** Frees a copy that nothing goes on from, at both servers. */
  dropCopy(from: ServerEntry, handle: string): void;
  /** Asks a server what it does, without a slot of it; null if it does not answer. */
  readReport(server: ServerEntry): Promise<ServerReport | null>;
  /** Asks who serves at a server's address; null if nobody says so at once. */
  readIdentity(server: ServerEntry, healthPath: string): Promise<ServerIdentity | null>;
  /** Tokens that a server keeps of parts of prompts, by id; empty if it does not answer. */
  readCachedPromptParts(server: ServerEntry): Promise<ReadonlyMap<string, number>>;
  /** Closes idle connections of a server that is gone. */
  removeServer(id: string): void;
}
