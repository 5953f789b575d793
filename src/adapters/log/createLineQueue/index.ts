/** Takes lines and writes them in order, without ever making the caller wait. */
export interface LineQueue {
  push(line: string): void;
  /** Resolves when everything taken so far was written. */
  waitUntilEmpty(): Promise<void>;
  countDroppedLines(): number;
}

/** Where lines go, and how many may wait. */
export interface LineQueueOptions {
  /** Writes some bytes; calls back when they were taken. */
  readonly write: (text: string, done: () => void) => void;
  /** Characters that may wait; lines past it are dropped and counted. */
  readonly maxCharacters: number;
  /** Builds the line that tells how many lines were dropped. */
  readonly formatDropNotice: (dropped: number) => string;
}

/**
 * Creates a bounded queue of log lines.
 *
 * A reader of standard output that stops reading would otherwise block the process, and with it
 * every request, as writes to a pipe wait for room. Here lines wait, then are dropped and counted.
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
      // Lines of one turn of the loop go out together.
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
