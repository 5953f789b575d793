import type { ServerReport } from '../../../src/domain/forwarding';
import type { Clock } from '../../../src/application/ports';

/** A stream on a simulated engine. */
export interface SimulatedRun {
  readonly id: string;
  readonly promptTokens: number;
  readonly reservedTokens: number;
  readonly events: number;
  /** Called with the number of each event. */
  readonly handleEvent: (event: number) => void;
  /** Called when the run ends: complete, or failed because the engine crashed. */
  readonly handleEnd: (isComplete: boolean) => void;
}

/** A model engine simulated in virtual time. */
export interface SimulatedEngine {
  start(run: SimulatedRun): void;
  /** Cancels a run whose connection was closed. */
  cancel(id: string): void;
  /** Reads a delayed report of the engine's state; null while the engine is down. */
  readReport(): ServerReport | null;
  isUp(): boolean;
  crash(): void;
  recover(): void;
  /** Counts the prompt tokens prefilled so far. */
  countPrefilledTokens(): number;
}

const TICK_MS = 20;

/** Prompt tokens prefilled per millisecond, while other runs decode. */
const PREFILL_TOKENS_PER_MS = 6.5;

/** Time of one event of six tokens without and with a concurrent prefill. */
const DECODE_EVENT_MS = 35;
const DECODE_EVENT_DURING_PREFILL_MS = 186;

const KV_CAPACITY_TOKENS = 88_000;

/** Age of a report when it arrives, in ticks. */
const REPORT_LAG_TICKS = 5;

interface Job {
  readonly run: SimulatedRun;
  prefilledTokens: number;
  events: number;
}

/**
 * Creates an engine that prefills one prompt at a time, as KV cache capacity allows. All running
 * streams decode in parallel, more slowly during a prefill.
 */
export const createSimulatedEngine = (clock: Pick<Clock, 'startTimer'>): SimulatedEngine => {
  let waiting: Job[] = [];
  let running: Job[] = [];
  let prefilling: Job | null = null;
  let isUp = true;
  let prefilledTokens = 0;
  let reports: ServerReport[] = [];

  const listActive = (): Job[] => [...running, ...(prefilling ? [prefilling] : [])];
  const sumReservedTokens = (): number =>
    listActive().reduce((sum, { run }) => sum + run.reservedTokens, 0);

  const runPrefill = (): void => {
    const [next] = waiting;
    if (
      !prefilling &&
      next &&
      sumReservedTokens() + next.run.reservedTokens <= KV_CAPACITY_TOKENS
    ) {
      prefilling = next;
      waiting = waiting.slice(1);
    }
    if (!prefilling) return;
    const tokens = Math.min(
      TICK_MS * PREFILL_TOKENS_PER_MS,
      prefilling.run.promptTokens - prefilling.prefilledTokens,
    );
    prefilling.prefilledTokens += tokens;
    prefilledTokens += tokens;
    if (prefilling.prefilledTokens < prefilling.run.promptTokens) return;
    running.push(prefilling);
    prefilling = null;
  };

  const runDecode = (): void => {
    const step = TICK_MS / (prefilling ? DECODE_EVENT_DURING_PREFILL_MS : DECODE_EVENT_MS);
    [...running].forEach((job) => {
      const before = Math.floor(job.events);
      Object.assign(job, { events: Math.min(job.run.events, job.events + step) });
      for (let event = before + 1; event <= Math.floor(job.events); event += 1) {
        job.run.handleEvent(event);
      }
      if (job.events < job.run.events) return;
      running = running.filter((other) => other !== job);
      job.run.handleEnd(true);
    });
  };

  const buildReport = (): ServerReport => ({
    waiting: waiting.length,
    running: listActive().length,
    kvUsedTokens: sumReservedTokens(),
    kvTotalTokens: KV_CAPACITY_TOKENS,
    eventsByRun: new Map(running.map(({ events, run }) => [run.id, Math.floor(events)])),
    isLeaving: false,
    limitPerS: null,
    maxRejectionsPerS: null,
    load: null,
    bornMs: null,
  });

  const tick = (): void => {
    if (isUp) {
      runPrefill();
      runDecode();
      reports = [...reports, buildReport()].slice(-REPORT_LAG_TICKS);
    }
    clock.startTimer(TICK_MS, tick);
  };
  tick();

  return {
    start: (run) => {
      waiting.push({ run, prefilledTokens: 0, events: 0 });
    },
    cancel: (id) => {
      const isOther = ({ run }: Job): boolean => run.id !== id;
      waiting = waiting.filter(isOther);
      running = running.filter(isOther);
      if (prefilling && !isOther(prefilling)) prefilling = null;
    },
    readReport: () => (isUp ? (reports[0] ?? buildReport()) : null),
    isUp: () => isUp,
    crash: () => {
      isUp = false;
      const lost = [...listActive(), ...waiting];
      waiting = [];
      running = [];
      prefilling = null;
      reports = [];
      lost.forEach(({ run }) => run.handleEnd(false));
    },
    recover: () => {
      isUp = true;
    },
    countPrefilledTokens: () => prefilledTokens,
  };
};
