/** Takes lines and writes them in order, without ever making the caller wait. */
export interface LineQueue {
  push(line: string): void;
  /** Resolves when everything taken so far was written. */
  waitForEmpty(): Promise<void>;
  countDropped(): number;
}

/** Where lines go, and how many may wait. */
export interface LineQueueOptions {
  /** Writes some bytes; calls back when they were taken. */
  readonly write: (text: string, done: () => void) => void;
  /** Characters that may wait; lines past it are dropped and counted. */
  readonly maxCharacters: number;
  /** Builds the line that tells how many lines were dropped. */
  readonly buildDropLine: (dropped: number) => string;
}

/**
 * Creates a bounded queue of log lines.
 *
 * A reader of standard output that stops reading would otherwise block the process, and with it
 * every request, as writes to a pipe wait for room. Here lines wait, then are dropped and counted.
 */
export const createLineQueue = ({
  buildDropLine,
  maxCharacters,
  write,
}: LineQueueOptions): LineQueue => {
  let waiting: string[] = [];
  let characters = 0;
  let dropped = 0;
  let reported = 0;
  let isWriting = false;
  let waiters: (() => void)[] = [];

  const flush = (): void => {
    if (dropped > reported) {
      waiting.push(buildDropLine(dropped - reported));
      reported = dropped;
    }
    if (waiting.length === 0) {
      waiters.forEach((resolve) => resolve());
      waiters = [];
      return;
    }
    const text = waiting.join('');
    waiting = [];
    characters = 0;
    isWriting = true;
    write(text, () => {
      isWriting = false;
      flush();
    });
  };

  return {
    push: (line) => {
      if (characters + line.length > maxCharacters) {
        dropped += 1;
        return;
      }
      characters += line.length;
      waiting.push(`${line}\n`);
      if (isWriting || waiting.length > 1) return;
      // Lines of one turn of the loop go out together.
      setImmediate(() => {
        if (!isWriting) flush();
      });
    },
    waitForEmpty: () =>
      new Promise((resolve) => {
        if (waiting.length === 0 && !isWriting) resolve();
        else waiters.push(resolve);
      }),
    countDropped: () => dropped,
  };
};
