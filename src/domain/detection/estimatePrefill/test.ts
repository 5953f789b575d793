import test from 'ava';
import { estimatePrefill } from '.';

const build = (firstTokenMs: number, promptCharacters = 100) => ({
  firstTokenMs,
  promptCharacters,
});

const UNKNOWN = { ownMs: Infinity, usualMs: Infinity };

test('times that were waited in a queue count little for the prompt itself', (t) => {
  const samples = [build(9000), build(1000), build(1100), build(5000), build(1050)];
  t.deepEqual(estimatePrefill(samples, 100), { ownMs: 1050, usualMs: 1100 });
});

test('the time grows with the length of the prompt', (t) => {
  const samples = [build(1000), build(1000), build(1000), build(1000)];
  t.is(estimatePrefill(samples, 300).ownMs, 3000);
  t.is(estimatePrefill(samples, 50).ownMs, 500);
});

// Symptom: after a restart, runs are taken for lost after half a second, and read anew.
// Sequence: the first prompt of the new process was cached at its server, and took 100 ms.
// Cause: one sample tells of all prompts.
test('a few samples tell nothing', (t) => {
  t.deepEqual(estimatePrefill([], 100), UNKNOWN);
  t.deepEqual(estimatePrefill([build(100), build(1000), build(1000)], 100), UNKNOWN);
  const samples = [build(100), build(1000), build(1000), build(1000)];
  t.is(estimatePrefill(samples, 100).ownMs, 1000);
});
