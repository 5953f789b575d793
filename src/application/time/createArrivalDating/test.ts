import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createArrivalDating } from '.';

// Guards against requests that waited for a stopped process and count as sent when they are read.
test('what a process reads after it was stopped may have been sent since then', (t) => {
  const clock = createFakeClock();
  const process = { readMonotonicMs: clock.readMonotonicMs, startTimer: clock.startTimer };
  let idleMs = 0;
  const dating = createArrivalDating({ ...process, readIdleMs: () => idleMs });
  const run = (durationMs: number): void => {
    for (let stepMs = 0; stepMs < durationMs; stepMs += 10) {
      idleMs += 10;
      clock.advance(10);
    }
  };
  run(1000);
  t.is(dating.readSentSinceMs(), 900);
  run(50);
  t.is(dating.readSentSinceMs(), 1000);
  // Read in the same turn of the event loop.
  t.is(dating.readSentSinceMs(), 1000);
  dating.stop();
  idleMs += 5000;
  clock.advance(5000);
  t.is(dating.readSentSinceMs(), 1050);
  t.is(dating.readSentSinceMs(), 1050);
});
