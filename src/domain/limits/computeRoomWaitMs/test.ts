import test from 'ava';
import { computeRoomWaitMs } from '.';

const OPTIONS = { waitedMs: 0, leftMs: 4000, latencyGoalMs: 200 };

test('a call waits for a quarter of its goal at a server, and for half of it in all', (t) => {
  t.is(computeRoomWaitMs(OPTIONS), 50);
  t.is(computeRoomWaitMs({ ...OPTIONS, waitedMs: 80 }), 20);
  t.is(computeRoomWaitMs({ ...OPTIONS, waitedMs: 300 }), 0);
});

test('a request with a long goal waits for a moment only', (t) => {
  t.is(computeRoomWaitMs({ ...OPTIONS, latencyGoalMs: 4000 }), 150);
});

test('a request that is nearly late does not wait for long', (t) => {
  t.is(computeRoomWaitMs({ ...OPTIONS, leftMs: 40 }), 10);
});
