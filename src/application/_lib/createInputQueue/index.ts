/** Takes inputs one after the other, also those that come up while one is handled. */
export interface InputQueue<T> {
  push(input: T): void;
  /** Sets who handles inputs; must come before the first one. */
  setHandler(handler: (input: T) => void): void;
}

/**
 * Creates an empty queue.
 *
 * An effect may give rise to the next input at once. Handled inside the first, it would be decided
 * on a state whose effects have not all been run; so it waits for its turn.
 *
 * @returns Queue.
 */
export const createInputQueue = <T>(): InputQueue<T> => {
  const inputs: T[] = [];
  let handle: (input: T) => void = () => undefined;
  let isBusy = false;

  return {
    setHandler: (handler) => {
      handle = handler;
    },
    push: (input) => {
      inputs.push(input);
      if (isBusy) return;
      isBusy = true;
      try {
        for (let next = inputs.shift(); next !== undefined; next = inputs.shift()) handle(next);
      } finally {
        isBusy = false;
      }
    },
  };
};
