import test from 'ava';
import { createSystemClock } from '.';

// Guards against requests that time out at once on a route with a very long timeout.
test('a delay beyond the longest one of the platform does not end at once', async (t) => {
  const clock = createSystemClock();
  const early: number[] = [];
  const cancels = [2 ** 31, 2 ** 32 + 1, 1e300, Infinity].map((delayMs) =>
    clock.startTimer(delayMs, () => early.push(delayMs)),
  );
  await new Promise<void>((resolve) => {
    clock.startTimer(20, resolve);
  });
  cancels.forEach((cancel) => cancel());
  t.deepEqual(early, []);
});
