/** A queue that accepts lines without blocking the caller and writes them in order. */
export interface LineQueue {
  push(line: string): void;
  /** Resolves when all accepted lines are written. */
  waitUntilEmpty(): Promise<void>;
  countDroppedLines(): number;
}

/** Output and limits of a line queue. */
export interface LineQueueOptions {
  /** Writes a text; calls `done` when the output has accepted the text. */
  readonly write: (text: string, done: () => void) => void;
  /** Limit on queued characters; further lines are dropped and counted. */
  readonly maxCharacters: number;
  /** Formats the line that reports how many lines were dropped. */
  readonly formatDropNotice: (dropped: number) => string;
}

/**
 * Creates a bounded queue of log lines.
 *
 * Writes to a full pipe block: if the reader of standard output stopped reading, the process and
 * all its requests would stall. Here lines are queued instead, and past the limit dropped and
 * counted.
 */
export const createLineQueue = ({
  formatDropNotice,
  maxCharacters,
  write,
}: LineQueueOptions): LineQueue => {
  let waiting: string[] = [];
  let queuedCharacters = 0;
  let dropped = 0;
  let reportedDrops = 0;
  let isWriting = false;
  let waiters: (() => void)[] = [];

  const flush = (): void => {
    if (dropped > reportedDrops) {
      waiting.push(formatDropNotice(dropped - reportedDrops));
      reportedDrops = dropped;
    }
    if (waiting.length === 0) {
      waiters.forEach((resolve) => resolve());
      waiters = [];
      return;
    }
    const text = waiting.join('');
    waiting = [];
    queuedCharacters = 0;
    isWriting = true;
    write(text, () => {
      isWriting = false;
      flush();
    });
  };

  return {
    push: (line) => {
      if (queuedCharacters + line.length > maxCharacters) {
        dropped += 1;
        return;
      }
      queuedCharacters += line.length;
      waiting.push(`${line}\n`);
      if (isWriting || waiting.length > 1) return;
      // Lines of one turn of the event loop are written together.
      setImmediate(() => {
        if (!isWriting) flush();
      });
    },
    waitUntilEmpty: () =>
      new Promise((resolve) => {
        if (waiting.length === 0 && !isWriting) resolve();
        else waiters.push(resolve);
      }),
    countDroppedLines: () => dropped,
  };
};
