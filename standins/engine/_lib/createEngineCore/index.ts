import type { Clock, Randomness } from '../../../../src/application/ports';
import {
  AttemptState,
  type AttemptRecord,
  type EngineSettings,
  type StreamStart,
  type TokenStream,
} from '../../types';
import { createLoadHistory } from '../createLoadHistory';
import { createModelHolder, type ModelHolder } from '../createModelHolder';
import { createPrefixCache, type PrefixCache } from '../createPrefixCache';
import { createScheduler, type Scheduler } from '../createScheduler';
import { buildAttemptRecord, createStreamStore, type StreamStore } from '../createStreamStore';
import { createTokenWaiters } from '../createTokenWaiters';

const MS_PER_SECOND = 1000;

/** Hooks at the points where faults are injected. */
export interface CoreHooks {
  /** Called before sending, when a prefill begins or a token is added. True: cut the event. */
  handlePoint(stream: TokenStream): boolean;
  /** Called at the same points, after sending. */
  handleSent(stream: TokenStream): void;
}

/** The engine without its HTTP interface. */
export interface EngineCore {
  readonly store: StreamStore;
  readonly scheduler: Scheduler;
  readonly models: ModelHolder;
  readonly cache: PrefixCache;
  /** Accepts a request; null if the queue is full. */
  startStream(start: StreamStart): TokenStream | null;
  cancelStream(streamId: string): void;
  /** Body of an answer to `GET /load`. */
  buildLoad(): object;
  /** Drops all state but the log and pauses, as a crash of the process does. */
  clear(): void;
  isLeaving(): boolean;
  updateLeaving(leaving: boolean): void;
  waitForTokens(count: number, streamId: string): Promise<AttemptRecord>;
}

/** Creates the engine without its HTTP interface. */
export function createEngineCore(
  settings: EngineSettings,
  dependencies: { readonly clock: Clock; readonly randomness: Randomness },
  hooks: CoreHooks,
): EngineCore {
  const { clock, randomness } = dependencies;
  const cache = createPrefixCache(settings, clock);
  const models = createModelHolder(settings, clock);
  const load = createLoadHistory(settings.loadLagMs, clock);
  const waiters = createTokenWaiters();
  let leaving = false;
  let loadSequence = 0;

  const sendToReaders = (stream: TokenStream, cuts: boolean) => {
    stream.readers.forEach((reader) => {
      if (cuts) reader.cutNextEvent();
      else reader.sendTokens();
    });
  };
  const scheduler = createScheduler({ settings, clock, addPrompt: cache.addPrompt });
  const recordLoad = () => {
    const running = scheduler.countRunning();
    load.recordSnapshot({
      running,
      waiting: scheduler.countWaiting(),
      cacheUse: cache.computeUse(),
      tokensPerSecond: (running * MS_PER_SECOND) / scheduler.computeGapMs(),
    });
  };
  const stopStream = (stream: TokenStream, state: AttemptState) => {
    scheduler.removeStream(stream, state);
    recordLoad();
  };
  const store = createStreamStore({
    settings,
    clock,
    randomness,
    handleAbandoned: (stream) => stopStream(stream, AttemptState.Cancelled),
  });

  scheduler.addListener((stream) => {
    const cuts = hooks.handlePoint(stream);
    if (stream.readState() !== AttemptState.Prefill) sendToReaders(stream, cuts);
    if (stream.readState() !== AttemptState.Decoding) recordLoad();
    hooks.handleSent(stream);
    waiters.handleToken(buildAttemptRecord(stream));
  });

  return {
    store,
    scheduler,
    models,
    cache,
    startStream: (start) => {
      const stream = store.addStream(start);
      const isTaken = scheduler.addStream(stream);
      if (!isTaken) {
        store.removeStream(stream);
        stream.updateState(AttemptState.Cancelled);
      }
      recordLoad();
      if (isTaken) waiters.handleToken(buildAttemptRecord(stream));
      return isTaken ? stream : null;
    },
    cancelStream: (streamId) => {
      const stream = store.findStream(streamId);
      if (stream === undefined) return;
      store.removeStream(stream);
      stopStream(stream, AttemptState.Cancelled);
    },
    buildLoad: () => {
      const { running, waiting, cacheUse, tokensPerSecond } = load.readSnapshot();
      loadSequence += 1;
      return {
        sequence: loadSequence,
        running,
        waiting,
        slots: settings.slots,
        cache_use: cacheUse,
        tokens_per_second: tokensPerSecond,
        models: models.listModels(),
        role: models.readRole(),
        leaving,
        fencing_token: models.readFencingToken(),
        age_ms: settings.loadLagMs,
      };
    },
    clear: () => {
      scheduler.pause();
      scheduler.listStreams().forEach((stream) => stopStream(stream, AttemptState.Lost));
      store.clear();
      models.clear();
      cache.clear();
      loadSequence = 0;
      leaving = false;
    },
    isLeaving: () => leaving,
    updateLeaving: (value) => {
      leaving = value;
    },
    waitForTokens: (count, streamId) =>
      waiters.waitForTokens(count, streamId, scheduler.listStreams().map(buildAttemptRecord)),
  };
}
