import test from 'ava';
import { createFakeClock, createSeededRandomness } from '../../../../../standins/fakes';
import { createTransitTracker } from '.';

/** A sender whose clock shows 7000 ms more. */
const setUp = () => {
  const clock = createFakeClock();
  const tracker = createTransitTracker({ clock, randomness: createSeededRandomness(1) });
  const sendNow = (run = 1) => ({ run, atMs: clock.readMonotonicMs() + 7000 });
  return { clock, sendNow, ...tracker };
};

test('a message is as late as it is slower than the fastest one', (t) => {
  const { clock, recordMessage, sendNow } = setUp();
  const delays = [5, 2, 2800, 9].map((delayMs) => {
    const sent = sendNow();
    clock.advance(delayMs);
    return recordMessage('a', sent);
  });
  t.deepEqual(delays, [0, 0, 2798, 7]);
});

test('a sender that restarted, or does not say when it sent, is not late', (t) => {
  const { clock, recordMessage, sendNow } = setUp();
  recordMessage('a', sendNow());
  const sent = sendNow(2);
  clock.advance(500);
  t.is(recordMessage('a', sent), 0);
  t.is(recordMessage('a', null), 0);
});

test('the fastest message is forgotten after two windows', (t) => {
  const { clock, recordMessage, sendNow } = setUp();
  recordMessage('a', sendNow());
  const readAfter = (passMs: number): number => {
    clock.advance(passMs);
    const sent = sendNow();
    clock.advance(100);
    return recordMessage('a', sent);
  };
  t.is(readAfter(50_000), 100);
  t.is(readAfter(50_000), 100);
  t.is(readAfter(70_000), 0);
});
