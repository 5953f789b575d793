import test from 'ava';
import { startDeadline } from '..';
import { createFakeClock } from '../../../../standins/fakes';

/** A clock whose timers fire late, as after a pause of the process. */
function startLate(firstLagMs: number, laterLagMs: number) {
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

test('a deadline passes at its time, and not once cancelled', (t) => {
  const { clock, countPassed } = startLate(0, 0);
  clock.advance(299);
  t.is(countPassed(), 0);
  clock.advance(1);
  t.is(countPassed(), 1);
  const other = startLate(0, 0);
  other.cancel();
  other.clock.advance(1000);
  t.is(other.countPassed(), 0);
});

test('after a pause of the process, answers that arrived meanwhile come first', (t) => {
  // Symptom: after a pause all calls to the store fail although it answered. Sequence: a call is
  // sent, the process stands still past the deadline, the answer arrives, the process goes on.
  // Cause: timers run before the sockets are read.
  const { clock, cancel, countPassed } = startLate(400, 0);
  clock.advance(700);
  t.is(countPassed(), 0);
  cancel();
  clock.advance(1000);
  t.is(countPassed(), 0);
});

test('a process that keeps standing still gives up all the same', (t) => {
  const { clock, countPassed } = startLate(100, 100);
  clock.advance(400 + 3 * 150);
  t.is(countPassed(), 1);
});
