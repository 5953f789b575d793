import test from 'ava';
import { createCountedRetries } from '../../../../../standins/fakes';
import type { StreamRun } from '../../types';
import { reserveReplacement } from '.';

/** Reserves the only retry, which takes time; `interrupt` runs meanwhile. */
const reserve = async (interrupt: (run: StreamRun, end: () => void) => void) => {
  const { acquireRetry, countLeft } = createCountedRetries({ count: 1 });
  let isEnded = false;
  let isNeeded = true;
  const run = {
    context: { route: { resumable: true, maxAttempts: 2 }, service: 's' },
    copy: null,
    prefillAttempts: 1,
    reservedRetry: null,
    isEnded: () => isEnded,
    dependencies: { lender: { acquireRetry } },
  } as unknown as StreamRun;
  const reserved = reserveReplacement(run, {
    isServerAnswering: true,
    isStillNeeded: () => isNeeded,
  });
  interrupt(run, () => {
    isEnded = true;
    isNeeded = false;
  });
  await reserved;
  return { left: countLeft(), run };
};

test('the retry of a further attempt is reserved', async (t) => {
  const { left, run } = await reserve(() => undefined);
  t.is(left, 0);
  t.truthy(run.reservedRetry);
});

// Guards against retries that nobody can use any more, as the stream that reserved them has ended.
test('a retry that is acquired after the end of its stream is given back', async (t) => {
  const { left, run } = await reserve((_, end) => end());
  t.is(left, 1);
  t.is(run.reservedRetry, null);
});

// Guards against retries that are lost: a move reserves one while another one is acquired.
test('a retry is given back if the stream has got another one meanwhile', async (t) => {
  const other = { release: () => undefined, finish: () => undefined };
  const { left, run } = await reserve((changed) =>
    Object.assign(changed, { reservedRetry: other }),
  );
  t.is(left, 1);
  t.is(run.reservedRetry, other);
});
