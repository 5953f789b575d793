import { createStreamMeter } from '../../../../embedded';
import type { ChainReport } from '../../../../../standins/chain';

/** Measures how long a caller's stream pauses after each break. */
export interface BreakMeter {
  /** Records the next text and the number of the connection that delivered it. */
  recordText(text: string, connection: number): void;
  /** Records that the entry or engine that serves the stream fails now. */
  recordBreak(): void;
  countBreaks(): number;
  countTokens(): number;
  /** Resolves with true at `count` tokens, or with false if the stream ends before. */
  waitForTokens(count: number): Promise<boolean>;
  stop(): void;
  listResumeMs(): readonly number[];
  /** Lists the times between tokens while nothing was broken, in milliseconds. */
  listGapsMs(): readonly number[];
  buildReport(expectedTokens: number): ChainReport;
}

interface Waiter {
  readonly count: number;
  readonly resolve: (reached: boolean) => void;
}

/**
 * Creates a meter. The stream has resumed at the first token of another attempt or connection:
 * tokens in flight at the break do not count.
 *
 * @param promptText - as for `checkChain`
 */
export function createBreakMeter(promptText: string): BreakMeter {
  const readMs = () => performance.now();
  const meter = createStreamMeter(promptText, readMs);
  const resumeMs: number[] = [];
  let source = '';
  const gapsMs: number[] = [];
  let lastMs: number | null = null;
  let breaks = 0;
  let openBreaks: readonly { readonly atMs: number; readonly source: string }[] = [];
  let waiters: readonly Waiter[] = [];
  let isStopped = false;

  const closeResumedBreaks = () => {
    const continued = openBreaks.filter((one) => one.source !== source);
    if (continued.length === 0) return;
    const nowMs = readMs();
    continued.forEach(({ atMs }) => resumeMs.push(nowMs - atMs));
    openBreaks = openBreaks.filter((one) => one.source === source);
  };
  const recordGap = () => {
    const nowMs = readMs();
    if (lastMs !== null) gapsMs.push(nowMs - lastMs);
    lastMs = openBreaks.length === 0 ? nowMs : null;
  };
  const resolveWaiters = () => {
    const reached = waiters.filter(({ count }) => isStopped || meter.countTokens() >= count);
    if (reached.length === 0) return;
    waiters = waiters.filter((waiter) => !reached.includes(waiter));
    reached.forEach(({ count, resolve }) => resolve(meter.countTokens() >= count));
  };
  return {
    recordText: (text, connection) => {
      meter.recordText(text);
      source = `${meter.listNonces().at(-1)}/${connection}`;
      closeResumedBreaks();
      recordGap();
      resolveWaiters();
    },
    recordBreak: () => {
      breaks += 1;
      lastMs = null;
      openBreaks = [...openBreaks, { atMs: readMs(), source }];
    },
    countBreaks: () => breaks,
    countTokens: meter.countTokens,
    waitForTokens: (count) =>
      new Promise((resolve) => {
        waiters = [...waiters, { count, resolve }];
        resolveWaiters();
      }),
    stop: () => {
      isStopped = true;
      resolveWaiters();
    },
    listResumeMs: () => resumeMs,
    listGapsMs: () => gapsMs,
    buildReport: meter.buildReport,
  };
}
