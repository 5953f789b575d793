import test from 'ava';
import { computeAdmittedRate, UNLIMITED_RATE } from '.';

const LATE = { admittedPerS: 100, isLate: true };
const IN_TIME = { admittedPerS: 100, isLate: false };

test('a VM that is late reads few connections, and then fewer than it did', (t) => {
  const late = computeAdmittedRate(UNLIMITED_RATE, LATE);
  t.deepEqual(late, { limitPerS: 20, targetPerS: 60 });
  t.deepEqual(computeAdmittedRate(late, LATE), late);
  t.true(computeAdmittedRate(late, IN_TIME).limitPerS >= 60);
});

test('a VM that is not late any more reads gradually more', (t) => {
  const rate = { limitPerS: 50, targetPerS: 50 };
  const next = computeAdmittedRate(rate, IN_TIME).limitPerS;
  t.true(next > 50 && next < 60);
  t.is(computeAdmittedRate(rate, { ...LATE, admittedPerS: 40 }).targetPerS, 24);
});

test('a VM that has not been late has no limit', (t) => {
  t.deepEqual(computeAdmittedRate(UNLIMITED_RATE, IN_TIME), UNLIMITED_RATE);
});

// Guards against callers that find no VM as all of them are late without many connections.
test('a VM that is late reads as many connections as it may get without being the cause', (t) => {
  const late = computeAdmittedRate(UNLIMITED_RATE, { admittedPerS: 15, isLate: true });
  t.true(late.limitPerS >= 15);
  t.true(late.targetPerS >= 15);
});
