import test from 'ava';
import { estimatePrefill } from '.';

const build = (firstTokenMs: number, promptCharacters = 100) => ({
  firstTokenMs,
  promptCharacters,
});

test('times that were waited in a queue count little for the prompt itself', (t) => {
  const samples = [build(9000), build(1000), build(1100), build(5000), build(1050)];
  t.deepEqual(estimatePrefill(samples, 100), { ownMs: 1050, usualMs: 1100 });
});

test('the time grows with the length of the prompt', (t) => {
  t.is(estimatePrefill([build(1000)], 300).ownMs, 3000);
  t.is(estimatePrefill([build(1000)], 50).ownMs, 500);
});

test('nothing is known before the first sample', (t) => {
  t.deepEqual(estimatePrefill([], 100), { ownMs: Infinity, usualMs: Infinity });
});
