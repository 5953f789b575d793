import type { ServerResponse } from 'node:http';
import type { Clock, Randomness } from '../../../../src/application/ports';
import type { AttemptRecord, EngineSettings, StreamStart, TokenStream } from '../../types';
import { createStreamReader } from '../createStreamReader';
import { createTokenStream } from '../createTokenStream';

/** The streams that an engine knows, with their readers, and the log of all attempts. */
export interface StreamStore {
  findStream(streamId: string): TokenStream | undefined;
  addStream(start: StreamStart): TokenStream;
  /** Sends the stream from `offset` to a connection, and keeps sending. */
  addReader(stream: TokenStream, response: ServerResponse, offset: number): void;
  /** Starts the time after which a stream without readers is dropped. */
  startKeepTimer(stream: TokenStream): void;
  removeStream(stream: TokenStream): void;
  /** Drops all streams, as the death of the process does; what was sent still arrives. */
  clear(): void;
  listAttempts(): readonly AttemptRecord[];
}

/** Builds the log's entry of a stream. */
export function buildAttemptRecord(stream: TokenStream): AttemptRecord {
  return {
    streamId: stream.start.streamId,
    model: stream.start.model,
    priority: stream.start.priority,
    state: stream.readState(),
    prefixTokens: stream.start.prefixTokenIds.length,
    generatedTokens: stream.ids.length,
    startedAtMs: stream.startedAtMs,
    readers: stream.readers.size,
  };
}

const NONCE_BYTES = 4;

/** Creates an empty store; `handleAbandoned` is told of a stream that nobody read for too long. */
export function createStreamStore(dependencies: {
  readonly settings: Pick<EngineSettings, 'keepMs'>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly handleAbandoned: (stream: TokenStream) => void;
}): StreamStore {
  const { settings, clock, randomness, handleAbandoned } = dependencies;
  const streams = new Map<string, TokenStream>();
  const keepTimers = new Map<TokenStream, () => void>();
  const attempts: TokenStream[] = [];

  const stopKeepTimer = (stream: TokenStream) => {
    keepTimers.get(stream)?.();
    keepTimers.delete(stream);
  };
  const removeStream = (stream: TokenStream) => {
    stopKeepTimer(stream);
    streams.delete(stream.start.streamId);
    stream.readers.forEach((reader) => reader.stop());
    stream.readers.clear();
  };
  const startKeepTimer = (stream: TokenStream) => {
    const isHeld = streams.get(stream.start.streamId) === stream;
    if (!isHeld || stream.readers.size > 0) return;
    stopKeepTimer(stream);
    const stop = clock.startTimer(settings.keepMs, () => {
      removeStream(stream);
      handleAbandoned(stream);
    });
    keepTimers.set(stream, stop);
  };

  return {
    findStream: (streamId) => streams.get(streamId),
    addStream: (start) => {
      const stream = createTokenStream(
        start,
        randomness.readHex(NONCE_BYTES),
        clock.readMonotonicMs(),
      );
      streams.set(start.streamId, stream);
      attempts.push(stream);
      return stream;
    },
    addReader: (stream, response, offset) => {
      stopKeepTimer(stream);
      const reader = createStreamReader(stream, response, offset, () => {
        stream.readers.delete(reader);
        startKeepTimer(stream);
      });
      // A request that a freeze held back may have lost its connection meanwhile, which then never
      // tells of its end: without this check the stream would run without a reader for ever.
      if (response.destroyed) {
        startKeepTimer(stream);
        return;
      }
      stream.readers.add(reader);
      reader.sendTokens();
    },
    startKeepTimer,
    removeStream,
    clear: () => {
      [...streams.values()].forEach((stream) => {
        stopKeepTimer(stream);
        stream.readers.clear();
      });
      streams.clear();
    },
    listAttempts: () => attempts.map(buildAttemptRecord),
  };
}
