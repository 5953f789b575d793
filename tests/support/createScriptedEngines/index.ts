import { err, ok, type Result } from 'neverthrow';
import type { EngineClient, EngineError, EngineStream } from '../../../src/application/ports';
import { addTokensToChain } from '../../../src/domain/cursor';
import type { BackendServer, TokenBatch } from '../../../src/domain/types';
import { createAsyncQueue, type AsyncQueue } from '../createAsyncQueue';

type Reader = AsyncQueue<Result<TokenBatch, EngineError>>;

/** State of one stream on a scripted engine. */
export interface ScriptedStream {
  readonly server: string;
  readonly streamId: string;
  readonly tokenIds: number[];
  /** Number of tokens that the request brought as a prefix. */
  readonly prefixLength: number;
  finishReason: string | null;
  readonly readers: Set<Reader>;
}

/** In-memory engines whose every step the test controls. */
export interface ScriptedEngines {
  readonly client: EngineClient;
  /** Started attempts, oldest first, including those on engines that were killed later. */
  readonly starts: ScriptedStream[];
  readonly cancelled: string[];
  readonly resumes: string[];
  /** Resolves when at least `count` attempts have started in total. */
  waitForStarts(count: number): Promise<void>;
  /** Generates tokens on a stream and sends them to its readers. */
  emit(stream: ScriptedStream, count: number, finishReason?: string): void;
  /** Breaks the connections of a server; its streams continue. */
  breakConnections(server: string): void;
  /** Breaks the connections of a server, drops its streams and refuses new connections. */
  kill(server: string): void;
  /** Stops all responses and tokens of a server until it is thawed. */
  freeze(server: string): void;
  thaw(server: string): void;
}

const REFUSED: EngineError = { kind: 'not-started', reason: 'ECONNREFUSED', retryAfterMs: 0 };
const BROKEN: EngineError = { kind: 'broken', reason: 'ECONNRESET' };
const GONE: EngineError = { kind: 'stream-gone', reason: 'status 404' };
const ID_DIGITS = 7;

/** Computes the next token of a stream; the last token makes it depend on all earlier ones. */
export const computeScriptedToken = (tokenIds: readonly number[], streamId: string): number => {
  const seed = addTokensToChain(streamId, [tokenIds.length, tokenIds.at(-1) ?? 0]);
  return Number.parseInt(seed.slice(0, ID_DIGITS), 16);
};

const buildBatch = (stream: ScriptedStream, from: number, to: number): TokenBatch => ({
  offset: from,
  tokenIds: stream.tokenIds.slice(from, to),
  text: stream.tokenIds
    .slice(from, to)
    .map((id, index) => ` ${from + index}:${id}`)
    .join(''),
  finishReason: to === stream.tokenIds.length ? stream.finishReason : null,
});

/** Creates scripted engines; a server exists as soon as it is addressed. */
export const createScriptedEngines = (): ScriptedEngines => {
  const streams = new Map<string, ScriptedStream>();
  const dead = new Set<string>();
  const frozen = new Map<string, (() => void)[]>();
  const starts: ScriptedStream[] = [];
  const cancelled: string[] = [];
  const resumes: string[] = [];
  let waiters: { readonly count: number; readonly resolve: () => void }[] = [];

  const waitForThaw = async (server: string): Promise<void> => {
    const waiting = frozen.get(server);
    if (!waiting) return;
    await new Promise<void>((resolve) => {
      waiting.push(resolve);
    });
  };

  const runWhenThawed = (server: string, send: () => void): void => {
    const waiting = frozen.get(server);
    if (waiting) waiting.push(send);
    else send();
  };

  const openReader = (stream: ScriptedStream, offset: number): EngineStream => {
    const reader: Reader = createAsyncQueue();
    stream.readers.add(reader);
    const isBehind = offset < stream.tokenIds.length || stream.finishReason !== null;
    if (isBehind) reader.push(ok(buildBatch(stream, offset, stream.tokenIds.length)));
    return {
      batches: reader,
      detach: () => {
        stream.readers.delete(reader);
        reader.end();
      },
    };
  };

  const breakReaders = (server: string): void => {
    streams.forEach((stream) => {
      if (stream.server !== server) return;
      stream.readers.forEach((reader) => {
        reader.push(err(BROKEN));
        reader.end();
      });
      stream.readers.clear();
    });
  };

  const recordStart = (stream: ScriptedStream): void => {
    starts.push(stream);
    waiters.filter(({ count }) => starts.length >= count).forEach(({ resolve }) => resolve());
    waiters = waiters.filter(({ count }) => starts.length < count);
  };

  const callServer = async ({ name }: BackendServer): Promise<Result<void, EngineError>> => {
    await waitForThaw(name);
    return dead.has(name) ? err(REFUSED) : ok();
  };

  const client: EngineClient = {
    startAttempt: async (server, { streamId, prefixTokenIds }) => {
      const stream: ScriptedStream = {
        server: server.name,
        streamId,
        tokenIds: [...prefixTokenIds],
        prefixLength: prefixTokenIds.length,
        finishReason: null,
        readers: new Set(),
      };
      if (dead.has(server.name)) return err(REFUSED);
      recordStart(stream);
      await waitForThaw(server.name);
      if (dead.has(server.name)) return err(BROKEN);
      streams.set(streamId, stream);
      return ok(openReader(stream, stream.prefixLength));
    },
    resumeStream: async (server, streamId, offset) => {
      resumes.push(`${server.name} ${offset}`);
      const called = await callServer(server);
      if (called.isErr()) return err(called.error);
      const stream = streams.get(streamId);
      const hasOffset = stream && stream.server === server.name && offset <= stream.tokenIds.length;
      return hasOffset ? ok(openReader(stream, offset)) : err(GONE);
    },
    cancelStream: async (server, streamId) => {
      const called = await callServer(server);
      if (called.isOk()) cancelled.push(streamId);
      return called;
    },
    readLoad: async () => err(REFUSED),
    listCacheEvents: async () => ok([]),
    sendOrder: async () => ok(),
    probe: callServer,
  };

  return {
    client,
    starts,
    cancelled,
    resumes,
    waitForStarts: async (count) => {
      if (starts.length >= count) return;
      await new Promise<void>((resolve) => {
        waiters.push({ count, resolve });
      });
    },
    emit: (stream, count, finishReason) =>
      runWhenThawed(stream.server, () => {
        const from = stream.tokenIds.length;
        for (let index = 0; index < count; index += 1) {
          stream.tokenIds.push(computeScriptedToken(stream.tokenIds, stream.streamId));
        }
        Object.assign(stream, { finishReason: finishReason ?? null });
        const batch = buildBatch(stream, from, stream.tokenIds.length);
        stream.readers.forEach((reader) => reader.push(ok(batch)));
      }),
    breakConnections: breakReaders,
    kill: (server) => {
      dead.add(server);
      breakReaders(server);
      streams.forEach((stream, id) => {
        if (stream.server === server) streams.delete(id);
      });
    },
    freeze: (server) => frozen.set(server, []),
    thaw: (server) => {
      const waiting = frozen.get(server) ?? [];
      frozen.delete(server);
      waiting.forEach((resume) => resume());
    },
  };
};
