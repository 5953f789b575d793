import { err, type Result } from 'neverthrow';
import type { Clock, StoreError } from '../../../ports';
import { startDeadline } from '../../startDeadline';

/** Waits for the result of an operation or for the deadline; a late result is discarded. */
export async function waitForResult<T>(
  operation: () => Promise<Result<T, StoreError>>,
  clock: Clock,
  deadlineMs: number,
  write: boolean,
): Promise<Result<T, StoreError>> {
  const late: StoreError = write
    ? { kind: 'ambiguous', reason: 'deadline passed' }
    : { kind: 'unavailable', reason: 'deadline passed', retryAfterMs: deadlineMs };
  let cancelTimer = (): void => {};
  const deadline = new Promise<Result<T, StoreError>>((resolve) => {
    cancelTimer = startDeadline(clock, deadlineMs, () => resolve(err(late)));
  });
  const result = await Promise.race([operation(), deadline]);
  cancelTimer();
  return result;
}
