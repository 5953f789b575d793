import test from 'ava';
import { compareWaitingDemands } from '.';

const BASE = {
  requestClass: { priority: 1, routePriority: 0 },
  isResumed: false,
  isLate: false,
  startTag: 5,
  isReturning: false,
  arrivedAtMs: 5,
};

test('each rule of the order decides only where those before it do not', (t) => {
  const ordered = [
    { ...BASE, requestClass: { priority: 0, routePriority: 0 }, isLate: true, startTag: 9 },
    { ...BASE, isResumed: true, isLate: true, startTag: 9 },
    { ...BASE, startTag: 4, arrivedAtMs: 9 },
    { ...BASE, isReturning: true, arrivedAtMs: 9 },
    { ...BASE, arrivedAtMs: 4 },
    BASE,
    { ...BASE, isLate: true, startTag: 1, arrivedAtMs: 1 },
  ];
  t.deepEqual([...ordered].reverse().sort(compareWaitingDemands), ordered);
});
