import type { Result } from 'neverthrow';

/** Returns the value of a result; throws if the result is an error. */
export function readOk<T, E>(result: Result<T, E>): T {
  return result.match(
    (value) => value,
    (error) => {
      throw new Error(`expected a value, got ${JSON.stringify(error)}`);
    },
  );
}
