import type { ServerReport } from '../../../src/domain/forwarding';
import type { Clock } from '../../../src/application/ports';

/** A stream at an engine of the model. */
export interface ModelRun {
  readonly id: string;
  readonly promptTokens: number;
  readonly neededTokens: number;
  readonly events: number;
  /** Called with the number of each event. */
  readonly handleEvent: (event: number) => void;
  /** Called when the run has ended: whole, or lost with the engine. */
  readonly handleEnd: (isWhole: boolean) => void;
}

/** An engine in virtual time. */
export interface ModelEngine {
  start(run: ModelRun): void;
  /** The connection of a run was closed. */
  cancel(id: string): void;
  /** What the engine said of itself some time ago; null while it is down. */
  readReport(): ServerReport | null;
  isUp(): boolean;
  crash(): void;
  recover(): void;
  /** Prompt tokens read so far. */
  countReadTokens(): number;
}

const TICK_MS = 20;

/** Prompt tokens read in a millisecond, beside the tokens of the runs. */
const TOKENS_PER_MS = 6.5;

/** Time of one event of six tokens while no prompt is read, and while one is. */
const EVENT_MS = 35;
const EVENT_READING_MS = 186;

const MEMORY_TOKENS = 88_000;

/** Reports are this old when they arrive. */
const REPORT_LAG_TICKS = 5;

interface Job {
  readonly run: ModelRun;
  readTokens: number;
  events: number;
}

/**
 * Creates an engine that reads prompts one after the other as memory allows, and makes events of all
 * its runs meanwhile, more slowly while it reads.
 */
export const createModelEngine = (clock: Pick<Clock, 'startTimer'>): ModelEngine => {
  let waiting: Job[] = [];
  let running: Job[] = [];
  let reading: Job | null = null;
  let isUp = true;
  let readTokens = 0;
  let reports: ServerReport[] = [];

  const listHeld = (): Job[] => [...running, ...(reading ? [reading] : [])];
  const sumNeeded = (): number => listHeld().reduce((sum, { run }) => sum + run.neededTokens, 0);

  const readPrompt = (): void => {
    const [next] = waiting;
    if (!reading && next && sumNeeded() + next.run.neededTokens <= MEMORY_TOKENS) {
      reading = next;
      waiting = waiting.slice(1);
    }
    if (!reading) return;
    const tokens = Math.min(TICK_MS * TOKENS_PER_MS, reading.run.promptTokens - reading.readTokens);
    reading.readTokens += tokens;
    readTokens += tokens;
    if (reading.readTokens < reading.run.promptTokens) return;
    running.push(reading);
    reading = null;
  };

  const makeEvents = (): void => {
    const step = TICK_MS / (reading ? EVENT_READING_MS : EVENT_MS);
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
    running: listHeld().length,
    kvUsedTokens: sumNeeded(),
    kvTotalTokens: MEMORY_TOKENS,
    eventsByRun: new Map(running.map(({ events, run }) => [run.id, Math.floor(events)])),
    isLeaving: false,
    limitPerS: null,
    bornMs: null,
  });

  const tick = (): void => {
    if (isUp) {
      readPrompt();
      makeEvents();
      reports = [...reports, buildReport()].slice(-REPORT_LAG_TICKS);
    }
    clock.startTimer(TICK_MS, tick);
  };
  tick();

  return {
    start: (run) => {
      waiting.push({ run, readTokens: 0, events: 0 });
    },
    cancel: (id) => {
      const isOther = ({ run }: Job): boolean => run.id !== id;
      waiting = waiting.filter(isOther);
      running = running.filter(isOther);
      if (reading && !isOther(reading)) reading = null;
    },
    readReport: () => (isUp ? (reports[0] ?? buildReport()) : null),
    isUp: () => isUp,
    crash: () => {
      isUp = false;
      const lost = [...listHeld(), ...waiting];
      waiting = [];
      running = [];
      reading = null;
      reports = [];
      lost.forEach(({ run }) => run.handleEnd(false));
    },
    recover: () => {
      isUp = true;
    },
    countReadTokens: () => readTokens,
  };
};
