import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createSuspensionWatch } from '.';

test('a suspension is seen by the clock that it does not stop', (t) => {
  const clock = createFakeClock();
  const { readSuspendedBeforeMs } = createSuspensionWatch(clock);
  clock.advance(5000);
  t.is(readSuspendedBeforeMs(), -Infinity);
  clock.jumpWall(clock.readWallMs() + 3000);
  clock.advance(10);
  t.is(readSuspendedBeforeMs(), 5010);
  clock.advance(5000);
  t.is(readSuspendedBeforeMs(), 5010);
});

test('a wall clock that jumps back is no suspension', (t) => {
  const clock = createFakeClock();
  const { readSuspendedBeforeMs } = createSuspensionWatch(clock);
  clock.jumpWall(clock.readWallMs() - 3000);
  t.is(readSuspendedBeforeMs(), -Infinity);
});
