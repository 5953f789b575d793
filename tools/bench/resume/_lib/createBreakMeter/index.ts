import { createStreamMeter } from '../../../../embedded';
import type { ChainReport } from '../../../../../standins/chain';

/** Measures how long a caller's stream stands still after each break. */
export interface BreakMeter {
  /** Takes a text and the number of the connection that carried it. */
  recordText(text: string, connection: number): void;
  /** Notes that what serves the stream broke now. */
  recordBreak(): void;
  countBreaks(): number;
  countTokens(): number;
  /** Resolves with true at `count` tokens, or with false if the stream ends before. */
  waitForTokens(count: number): Promise<boolean>;
  stop(): void;
  listResumeMs(): readonly number[];
  /** Times between tokens while nothing was broken. */
  listGapsMs(): readonly number[];
  buildReport(expectedTokens: number): ChainReport;
}

interface Waiter {
  readonly count: number;
  readonly resolve: (reached: boolean) => void;
}

/**
 * Creates a meter. The stream continues with the first token that another attempt or another
 * connection brings: tokens that were under way at the break do not count.
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
  let open: readonly { readonly atMs: number; readonly source: string }[] = [];
  let waiters: readonly Waiter[] = [];
  let isStopped = false;

  const closeBreaks = () => {
    const continued = open.filter((one) => one.source !== source);
    if (continued.length === 0) return;
    const nowMs = readMs();
    continued.forEach(({ atMs }) => resumeMs.push(nowMs - atMs));
    open = open.filter((one) => one.source === source);
  };
  const recordGap = () => {
    const nowMs = readMs();
    if (lastMs !== null) gapsMs.push(nowMs - lastMs);
    lastMs = open.length === 0 ? nowMs : null;
  };
  const wake = () => {
    const reached = waiters.filter(({ count }) => isStopped || meter.countTokens() >= count);
    if (reached.length === 0) return;
    waiters = waiters.filter((waiter) => !reached.includes(waiter));
    reached.forEach(({ count, resolve }) => resolve(meter.countTokens() >= count));
  };
  return {
    recordText: (text, connection) => {
      meter.recordText(text);
      source = `${meter.listNonces().at(-1)}/${connection}`;
      closeBreaks();
      recordGap();
      wake();
    },
    recordBreak: () => {
      breaks += 1;
      lastMs = null;
      open = [...open, { atMs: readMs(), source }];
    },
    countBreaks: () => breaks,
    countTokens: meter.countTokens,
    waitForTokens: (count) =>
      new Promise((resolve) => {
        waiters = [...waiters, { count, resolve }];
        wake();
      }),
    stop: () => {
      isStopped = true;
      wake();
    },
    listResumeMs: () => resumeMs,
    listGapsMs: () => gapsMs,
    buildReport: meter.buildReport,
  };
}
