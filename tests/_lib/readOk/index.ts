import type { Result } from 'neverthrow';

/** Reads the value of a result that a test expects to be good; fails the test otherwise. */
export function readOk<T, E>(result: Result<T, E>): T {
  return result.match(
    (value) => value,
    (error) => {
      throw new Error(`expected a value, got ${JSON.stringify(error)}`);
    },
  );
}
