import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { waitDelay } from '.';

test('waitDelay resolves when the delay has passed on the given clock, and not before', async (t) => {
  const clock = createFakeClock();
  let isOver = false;
  const waiting = waitDelay(clock, 50).then(() => {
    isOver = true;
  });
  await clock.advanceAsync(49);
  t.false(isOver);
  await clock.advanceAsync(1);
  await waiting;
  t.true(isOver);
});
