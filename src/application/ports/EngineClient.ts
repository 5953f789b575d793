import type { Result } from 'neverthrow';
import type {
  BackendServer,
  CacheEvent,
  EngineOrder,
  GenerationRequest,
  LoadReport,
  TokenBatch,
} from '../../domain/types';
import type { EngineError } from './EngineError';

/** An attempt as sent to an engine. */
export interface AttemptStart {
  readonly request: GenerationRequest;
  /** Model and adapter names as the engine knows them; the adapter is empty if there is none. */
  readonly model: string;
  readonly adapter: string;
  readonly streamId: string;
  /** Tokens generated so far; the engine continues after exactly these. */
  readonly prefixTokenIds: readonly number[];
  /** Higher priorities are served first. */
  readonly priority: number;
}

/** A running stream of an engine. */
export interface EngineStream {
  /** Yields batches in order; ends after a batch with a finish reason, or with one error. */
  readonly batches: AsyncIterable<Result<TokenBatch, EngineError>>;
  /** Stops reading; the engine keeps the stream for a while, so that it can be resumed later. */
  detach(): void;
}

/** Calls to model engines. */
export interface EngineClient {
  startAttempt(
    server: BackendServer,
    start: AttemptStart,
  ): Promise<Result<EngineStream, EngineError>>;
  /** Reads an existing stream from `offset` (counted from the start of the generation). */
  resumeStream(
    server: BackendServer,
    streamId: string,
    offset: number,
  ): Promise<Result<EngineStream, EngineError>>;
  cancelStream(server: BackendServer, streamId: string): Promise<Result<void, EngineError>>;
  readLoad(server: BackendServer): Promise<Result<LoadReport, EngineError>>;
  listCacheEvents(
    server: BackendServer,
    afterSequence: number,
  ): Promise<Result<readonly CacheEvent[], EngineError>>;
  sendOrder(server: BackendServer, order: EngineOrder): Promise<Result<void, EngineError>>;
  /** Checks whether the server answers at all. */
  probe(server: BackendServer): Promise<Result<void, EngineError>>;
}
