import test from 'ava';
import { decideWaiting } from '.';

const BASE = {
  waitMs: 2000,
  lateWaitMs: 30_000,
  prefillMs: 1000,
  runMs: 6000,
  goalLeftMs: 4000,
  leftMs: 24_000,
  maxWaitMs: 3000,
  isReturning: false,
  draw: 0.5,
};

test('a demand waits if it is predicted to begin within its goal', (t) => {
  t.deepEqual(decideWaiting(BASE), { kind: 'wait', predictedMs: 2000, isLate: false });
});

test('a demand that can not begin in time is refused with the time of its turn', (t) => {
  const refused = decideWaiting({ ...BASE, waitMs: 5000 });
  t.like(refused, { kind: 'refuse', returnMs: 5000 });
  t.like(decideWaiting({ ...BASE, waitMs: 5000, lateWaitMs: 0 }), { kind: 'refuse' });
  t.like(decideWaiting({ ...BASE, maxWaitMs: 1999 }), { kind: 'refuse' });
});

test('no caller is told more than a third of its time, or to return twice', (t) => {
  t.like(decideWaiting({ ...BASE, waitMs: Infinity }), { kind: 'refuse', returnMs: 8000 });
  const returning = { ...BASE, waitMs: 5000, isReturning: true };
  t.like(decideWaiting(returning), { kind: 'refuse', returnMs: 0 });
});

test('a demand past its goal, or of a caller that returned, waits if room is left for it', (t) => {
  const late = { kind: 'wait', predictedMs: 9000, isLate: true };
  const past = { ...BASE, goalLeftMs: -1, lateWaitMs: 9000 };
  t.like(decideWaiting(past), late);
  t.like(decideWaiting({ ...past, goalLeftMs: 2000, isReturning: true }), late);
  t.like(decideWaiting({ ...past, lateWaitMs: 12_001 }), { kind: 'refuse' });
});
