import { createNotifier } from '../../../src/application/generations/_lib/createNotifier';

/** A FIFO queue with one asynchronous reader. */
export interface AsyncQueue<T> extends AsyncIterable<T> {
  push(value: T): void;
  /** Ends the iteration after the values pushed so far. */
  end(): void;
}

/** Creates an empty queue. */
export const createAsyncQueue = <T>(): AsyncQueue<T> => {
  const values: T[] = [];
  let isEnded = false;
  const pushed = createNotifier();

  async function* read(): AsyncGenerator<T> {
    for (;;) {
      const value = values.shift();
      if (value !== undefined) {
        yield value;
      } else if (isEnded) {
        return;
      } else {
        await pushed.wait();
      }
    }
  }

  return {
    push: (value) => {
      if (!isEnded) values.push(value);
      pushed.notify();
    },
    end: () => {
      isEnded = true;
      pushed.notify();
    },
    [Symbol.asyncIterator]: read,
  };
};
