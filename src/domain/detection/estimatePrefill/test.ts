import test from 'ava';
import { estimatePrefill } from '.';

const build = (firstTokenMs: number, promptCharacters = 100) => ({
  firstTokenMs,
  promptCharacters,
});

const UNKNOWN = { ownMs: Infinity, usualMs: Infinity };

test('queueing times of the samples do not affect the estimate for the prompt itself', (t) => {
  const samples = [build(9000), build(1000), build(1100), build(5000), build(1050)];
  t.deepEqual(estimatePrefill(samples, 100), { ownMs: 1050, usualMs: 1100 });
});

test('the estimate grows with the length of the prompt', (t) => {
  const samples = [build(1000), build(1000), build(1000), build(1000)];
  t.is(estimatePrefill(samples, 300).ownMs, 3000);
  t.is(estimatePrefill(samples, 50).ownMs, 500);
});

// Guards against runs that count as lost after half a second and are prefilled again: after a
// restart of the VM, the first prompt was cached on its server and took 100 ms, and this one sample
// decided.
test('the estimate is infinite while there are fewer than four samples', (t) => {
  t.deepEqual(estimatePrefill([], 100), UNKNOWN);
  t.deepEqual(estimatePrefill([build(100), build(1000), build(1000)], 100), UNKNOWN);
  const samples = [build(100), build(1000), build(1000), build(1000)];
  t.is(estimatePrefill(samples, 100).ownMs, 1000);
});
