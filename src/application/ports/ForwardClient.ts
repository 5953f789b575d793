import type { Result } from 'neverthrow';
import type { ConnectionEnd } from '../../domain/crashes';
import type {
  AnswerHead,
  ForwardedRequest,
  ServerEntry,
  ServerReport,
  ServerSignals,
} from '../../domain/forwarding';

/** Location of a copy of a run's KV cache. */
export interface KvCopy {
  /** IP:PORT of the server that knows the handle: the one that holds the copy, or made it. */
  readonly address: string;
  readonly handle: string;
}

/** An attempt to run a request on one server. */
export interface AttemptRequest {
  readonly server: ServerEntry;
  readonly request: ForwardedRequest;
  /** Null if the route requires no API key. */
  readonly workspace: string | null;
  /** Priority in the server's queue, from 0, the most urgent, to 9. */
  readonly priority: number;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
  /** The stream continues after this event; null for a new stream. */
  readonly lastEventId: number | null;
  /** Server to which the run's KV cache is copied as it grows; null for none. */
  readonly backupAddress: string | null;
  /** Copy of the KV cache from which the run continues; null to prefill the prompt. */
  readonly copy: KvCopy | null;
  /** Whether to open a new connection: an idle one may be dead, and a request sent on it lost. */
  readonly newConnection: boolean;
}

/** A response whose body is still arriving. */
export interface AttemptAnswer {
  readonly head: AnswerHead;
  /** VM that forwards the response; null if it comes from the server directly. */
  readonly relay: string | null;
  /** Throws if the response breaks off. */
  readonly body: AsyncIterable<Buffer>;
  /**
   * Tells that the reader of the body got on. The connection ends after some megabytes on the wire
   * without it; a body that is read whole, up to a size of its own, needs none.
   */
  readonly recordProgress: () => void;
  /**
   * Tells how the connection to the server ended, once the body has been read.
   *
   * @param error - what the body threw; null if it ended
   */
  readonly readEnd: (error: unknown) => ConnectionEnd;
}

/** An answer that came to a request and belongs to another one. */
export interface ForeignAnswer {
  /** Id that it bears; empty if it bears none. */
  readonly answerId: string;
  /** Requests that its connection had carried before; null if a relay held the connection. */
  readonly earlierRequests: number | null;
}

/** Failure of an attempt before the head of the response. */
export interface AttemptError {
  /** `not-started`: no byte of the request was sent; `broken`: it was sent, or may have been. */
  readonly kind: 'broken' | 'cancelled' | 'not-started';
  readonly reason: string;
  /** `unseen` if the relay failed, which says nothing about the server. */
  readonly connection: ConnectionEnd;
  /** VM through which the request was sent; null if it was sent directly. */
  readonly relay: string | null;
  /** The answer that came, if it belongs to another request. */
  readonly foreign?: ForeignAnswer;
}

/** Failure to copy a run. */
export interface CopyError {
  readonly reason: string;
  /** True if the server says that it has no such run: it has ended. */
  readonly isUnknownRun: boolean;
  /** The KV cache that the server kept of a run that had already stopped, or null. */
  readonly kept: KvCopy | null;
}

/** Identity of the server at an address. */
export interface ServerIdentity extends ServerSignals {
  readonly id: string;
}

/** What a VM sees of a server on a new connection. */
export type ServerSighting =
  | 'alive'
  /** Another server has its address. */
  | 'replaced'
  /** It accepts connections, but does not answer, as a busy server does. */
  | 'silent'
  /** It accepts no connection. */
  | 'gone'
  /** It accepted the connection and broke it, as a server with too many of them does. */
  | 'broken'
  /** The VM through which it was asked failed. */
  | 'unseen';

/** Client of backend servers. Sends each attempt once; retries are up to the caller. */
export interface ForwardClient {
  /**
   * Sends an attempt. Aborting `signal` closes the connection at once, at any time until the body
   * has ended.
   */
  sendAttempt(
    attempt: AttemptRequest,
    signal: AbortSignal,
  ): Promise<Result<AttemptAnswer, AttemptError>>;
  /**
   * Copies the KV cache of a run to another server; later calls copy only what was added since.
   *
   * @param options.stops - whether to stop the run first, so that the copy is complete
   * @returns the copy from which the run can continue
   */
  copyRun(
    from: ServerEntry,
    runId: string,
    to: ServerEntry,
    options: { readonly stops: boolean },
  ): Promise<Result<KvCopy, CopyError>>;
  /** Frees an unused copy at both servers. */
  dropCopy(from: ServerEntry, handle: string): void;
  /** Reads a server's load report, which uses none of its slots; null if it does not answer. */
  readReport(server: ServerEntry): Promise<ServerReport | null>;
  /** Finds out on a new connection whether the server runs at its address. */
  probeIdentity(server: ServerEntry, healthPath: string): Promise<ServerSighting>;
  /** Reads which server runs at an address; null if none answers at once. */
  readIdentity(server: ServerEntry, healthPath: string): Promise<ServerIdentity | null>;
  /** Reads the cached tokens of prompt parts, by part id; empty if the server does not answer. */
  readCachedPromptParts(server: ServerEntry): Promise<ReadonlyMap<string, number>>;
  /** Closes the idle connections to a server that was removed. */
  removeServer(id: string): void;
}
