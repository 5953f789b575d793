import type { Readable } from 'node:stream';
import type { ConnectionEnd } from '../../../domain/crashes';

/** A request that this VM forwards to a server for another VM. */
export interface RelayedRequest {
  readonly method: string;
  readonly target: string;
  /** Names and values alternately. */
  readonly headers: readonly string[];
  readonly body: Readable | null;
  /** Whether to open a new connection to the server. */
  readonly newConnection: boolean;
}

/** The response of the server, whose body is still arriving. */
export interface RelayedResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Readable;
  /** False if the end of the response is that of its connection. */
  readonly isFramed: boolean;
  /** Tells how the connection to the server ended; `error` is what the body threw, or null. */
  readonly readEnd: (error: unknown) => ConnectionEnd;
}

/** Why a server gave no answer on the direct path. */
export type PathFailure =
  /** A new connection was refused or not established in time. */
  | 'not-connected'
  /** The connection was lost. */
  | 'broken'
  /** An established connection stayed silent, as that of a busy server does. */
  | 'silent';

/** Which servers another VM is asked about. */
export interface ReachQuestion {
  readonly ids: readonly string[];
  /** One of them that is probed even if it answered a moment ago; null for none. */
  readonly suspectId: string | null;
}

/** Another VM's answer to which servers it reaches. */
export interface ReachAnswer {
  /** Ids of the servers that it reaches, of those that it was asked about. */
  readonly reachedIds: readonly string[];
  /** Whether it reaches any server, also other ones. */
  readonly reachesAny: boolean;
  /** Requests that it forwards now. */
  readonly running: number;
}
