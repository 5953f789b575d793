import type { Clock } from '../../../../src/application/ports';
import { AttemptState, type EngineSettings, type TokenStream } from '../../types';

/** What the scheduler needs of the rest of the engine. */
export interface SchedulerDependencies {
  readonly settings: EngineSettings;
  readonly clock: Clock;
  /** Takes a prompt into the cache; gives the part that was there already, 0 to 1. */
  readonly addPrompt: (promptText: string) => number;
}

/** Continuous batching: streams that run side by side, and those that wait for a slot. */
export interface Scheduler {
  /** Takes a stream, or refuses it because the queue is full. */
  addStream(stream: TokenStream): boolean;
  /** Stops a stream that has not finished, in the given state. */
  removeStream(stream: TokenStream, state: AttemptState): void;
  /** All streams that run or wait. */
  listStreams(): readonly TokenStream[];
  countRunning(): number;
  countWaiting(): number;
  computeGapMs(): number;
  updateSlowness(multiplier: number): void;
  /** Stops all progress until `resume`. */
  pause(): void;
  resume(): void;
  /** Calls `listener` when a stream has begun its prefill or has a token more. */
  addListener(listener: (stream: TokenStream) => void): void;
}

/** Part of the prefill that a cached prompt still costs. */
const CACHED_PREFILL_PART = 0.2;

const isDecoding = (stream: TokenStream) => stream.readState() === AttemptState.Decoding;

/** Finds the stream to run next: the highest priority, and of these the first that came. */
function findNext(waiting: readonly TokenStream[]): TokenStream | undefined {
  const highest = Math.max(...waiting.map((stream) => stream.start.priority));
  return waiting.find((stream) => stream.start.priority === highest);
}

/** Creates the scheduler. One step gives a token to each stream that decodes. */
export function createScheduler(dependencies: SchedulerDependencies): Scheduler {
  const { settings, clock, addPrompt } = dependencies;
  const listeners: ((stream: TokenStream) => void)[] = [];
  let waiting: readonly TokenStream[] = [];
  /** Running streams, each with what stops its prefill. */
  const running = new Map<TokenStream, () => void>();
  /** Streams whose prefill ended during a pause. */
  const held = new Set<TokenStream>();
  let isPaused = false;
  let slowness = 1;
  /** When the last step was due, monotonic milliseconds. */
  let dueMs = 0;
  let stopStepTimer: (() => void) | null = null;

  const computeGapMs = () => {
    const load = Math.max(0, running.size - 1) / Math.max(1, settings.slots - 1);
    return settings.gapMs * slowness * (1 + settings.slowdown * load);
  };

  const steps = {
    fillSlots: () => {
      while (!isPaused && running.size < settings.slots && waiting.length > 0) {
        const next = findNext(waiting);
        if (next === undefined) return;
        waiting = waiting.filter((stream) => stream !== next);
        steps.startPrefill(next);
      }
    },
    startPrefill: (stream: TokenStream) => {
      const cachedPart = addPrompt(stream.start.promptText);
      const work = 1 - cachedPart * (1 - CACHED_PREFILL_PART);
      const prefillMs = (settings.firstTokenMs * work * computeGapMs()) / settings.gapMs;
      stream.updateState(AttemptState.Prefill);
      running.set(
        stream,
        clock.startTimer(prefillMs, () => steps.startDecoding(stream)),
      );
      listeners.forEach((listener) => listener(stream));
    },
    startDecoding: (stream: TokenStream) => {
      if (isPaused) {
        held.add(stream);
        return;
      }
      stream.updateState(AttemptState.Decoding);
      steps.generate(stream);
      steps.startStepTimer();
    },
    generate: (stream: TokenStream) => {
      stream.addToken();
      const isFinished = stream.readState() === AttemptState.Finished;
      if (isFinished) running.delete(stream);
      listeners.forEach((listener) => listener(stream));
      if (isFinished) steps.fillSlots();
    },
    startStepTimer: () => {
      if (isPaused || stopStepTimer !== null || ![...running.keys()].some(isDecoding)) return;
      const nowMs = clock.readMonotonicMs();
      const gapMs = computeGapMs();
      // Timers fire late: a step counts from when the last one was due, as long as that is not so
      // far back that steps would come in a burst.
      const nextMs = dueMs + gapMs;
      dueMs = Math.abs(nextMs - nowMs) > gapMs ? nowMs + gapMs : nextMs;
      const delayMs = Math.max(0, dueMs - nowMs);
      stopStepTimer = clock.startTimer(delayMs, steps.runStep);
    },
    runStep: () => {
      stopStepTimer = null;
      [...running.keys()].filter(isDecoding).forEach((stream) => {
        // A fault at an earlier stream's token may have stopped this one.
        if (!isPaused && running.has(stream)) steps.generate(stream);
      });
      steps.startStepTimer();
    },
  };

  return {
    addStream: (stream) => {
      const isFull = running.size >= settings.slots && waiting.length >= settings.queueLimit;
      if (isFull) return false;
      waiting = [...waiting, stream];
      steps.fillSlots();
      return true;
    },
    removeStream: (stream, state) => {
      running.get(stream)?.();
      running.delete(stream);
      held.delete(stream);
      waiting = waiting.filter((other) => other !== stream);
      if (stream.readState() !== AttemptState.Finished) stream.updateState(state);
      steps.fillSlots();
    },
    listStreams: () => [...running.keys(), ...waiting],
    countRunning: () => running.size,
    countWaiting: () => waiting.length,
    computeGapMs,
    updateSlowness: (multiplier) => {
      slowness = multiplier;
    },
    pause: () => {
      isPaused = true;
      stopStepTimer?.();
      stopStepTimer = null;
    },
    resume: () => {
      isPaused = false;
      const ready = [...held];
      held.clear();
      ready.forEach(steps.startDecoding);
      steps.startStepTimer();
      steps.fillSlots();
    },
    addListener: (listener) => {
      listeners.push(listener);
    },
  };
}
