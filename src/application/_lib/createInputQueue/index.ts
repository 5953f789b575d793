/** Handles inputs one at a time, including those pushed while another one is handled. */
export interface InputQueue<T> {
  push(input: T): void;
  /** Sets the handler; must be called before the first `push`. */
  setHandler(handler: (input: T) => void): void;
}

/**
 * Creates an empty queue.
 *
 * An effect may push the next input synchronously. If that input were handled at once, it would see
 * a state whose effects have not all been run. So it is queued until the current input is done.
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
