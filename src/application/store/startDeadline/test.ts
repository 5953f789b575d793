import test from 'ava';
import { startDeadline } from '..';
import { createFakeClock } from '../../../../standins/fakes';

/** Starts a deadline on a clock whose timers fire late, as after a pause of the process. */
function startLateDeadline(firstLagMs: number, laterLagMs: number) {
  const clock = createFakeClock();
  let lagMs = firstLagMs;
  let passed = 0;
  const startTimer = (delayMs: number, callback: () => void) => {
    const cancelTimer = clock.startTimer(delayMs + lagMs, callback);
    lagMs = laterLagMs;
    return cancelTimer;
  };
  const cancel = startDeadline({ ...clock, startTimer }, 300, () => {
    passed += 1;
  });
  return { clock, cancel, countPassed: () => passed };
}

test('a deadline passes on time, and not after it was cancelled', (t) => {
  const { clock, countPassed } = startLateDeadline(0, 0);
  clock.advance(299);
  t.is(countPassed(), 0);
  clock.advance(1);
  t.is(countPassed(), 1);
  const other = startLateDeadline(0, 0);
  other.cancel();
  other.clock.advance(1000);
  t.is(other.countPassed(), 0);
});

test('after a pause of the process, responses that arrived meanwhile are read first', (t) => {
  // Guards against calls to the store that all fail after a pause although the store answered: a
  // call is sent, the process is paused past the deadline, the response arrives, and the process
  // resumes. Timers run before the sockets are read.
  const { clock, cancel, countPassed } = startLateDeadline(400, 0);
  clock.advance(700);
  t.is(countPassed(), 0);
  cancel();
  clock.advance(1000);
  t.is(countPassed(), 0);
});

test('the deadline also passes in a process that stalls repeatedly', (t) => {
  const { clock, countPassed } = startLateDeadline(100, 100);
  clock.advance(400 + 3 * 150);
  t.is(countPassed(), 1);
});
