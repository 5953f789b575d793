import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createLoopDelayMonitor } from '.';

const createFixture = ({ isEnabled = true, goalMs = 400 } = {}) => {
  const clock = createFakeClock();
  const messages: string[] = [];
  const record = (message: string): void => {
    messages.push(message);
  };
  let loopDelayMs = 0;
  let draws = 0;
  const monitor = createLoopDelayMonitor({
    // The fake clock has no event loop: timers are late by what the test says.
    clock: {
      readMonotonicMs: clock.readMonotonicMs,
      startTimer: (delayMs, callback) => clock.startTimer(delayMs + loopDelayMs, callback),
    },
    log: { info: record, warn: record, error: record },
    randomness: {
      readFraction: () => {
        draws += 1;
        return (draws % 100) / 100;
      },
      readHex: () => '',
    },
    readGoalMs: () => goalMs,
    isEnabled: () => isEnabled,
  });
  const setDelay = (delayMs: number): void => {
    loopDelayMs = delayMs;
  };
  const countRefused = (): number =>
    Array.from({ length: 100 }, monitor.refusesStream).filter(Boolean).length;
  return { clock, messages, monitor, setDelay, countRefused };
};

// Guards against a small VM that takes streams until its timers and probes are late: it refuses a
// part of the new streams, says so, and recovers by itself.
test('a late event loop refuses some new streams until it is in time again', (t) => {
  const { clock, countRefused, messages, monitor, setDelay } = createFixture();
  const end = monitor.startRequest();
  setDelay(200);
  clock.advance(3000);
  t.is(monitor.readDelayMs(), 200);
  t.is(countRefused(), 50);
  setDelay(0);
  clock.advance(1000);
  t.is(countRefused(), 0);
  t.deepEqual(messages, ['gateway overloaded', 'gateway recovered']);
  end();
});

test('a VM that is late by seconds still takes a quarter of the streams', (t) => {
  const { clock, countRefused, monitor, setDelay } = createFixture();
  monitor.startRequest();
  setDelay(5000);
  clock.advance(30_000);
  t.is(countRefused(), 75);
});

test('a single pause of the process is no overload', (t) => {
  const { clock, countRefused, messages, monitor, setDelay } = createFixture();
  monitor.startRequest();
  clock.advance(2000);
  setDelay(3000);
  clock.advance(3500);
  setDelay(0);
  clock.advance(3500);
  t.is(countRefused(), 0);
  t.deepEqual(messages, []);
});

test('no timer runs without requests, and an overload ends with the last of them', (t) => {
  const { clock, countRefused, messages, monitor, setDelay } = createFixture();
  t.is(clock.countTimers(), 0);
  const ends = [monitor.startRequest(), monitor.startRequest()];
  t.is(clock.countTimers(), 1);
  setDelay(1000);
  clock.advance(6000);
  ends.forEach((end) => end());
  t.is(clock.countTimers(), 0);
  t.is(countRefused(), 0);
  t.deepEqual(messages, ['gateway overloaded', 'gateway recovered']);
});

test('a monitor that is off starts no timer and refuses nothing', (t) => {
  const { clock, countRefused, monitor, setDelay } = createFixture({ isEnabled: false });
  monitor.startRequest();
  setDelay(5000);
  clock.advance(30_000);
  t.is(clock.countTimers(), 0);
  t.is(countRefused(), 0);
});
