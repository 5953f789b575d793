import test from 'ava';
import { estimatePrefillMs } from '.';

const build = (firstTokenMs: number, promptCharacters = 100) => ({
  firstTokenMs,
  promptCharacters,
});

test('the median of what was seen counts, so that one slow server does not', (t) => {
  t.is(estimatePrefillMs([build(9000), build(1000), build(1100)], 100), 1100);
});

test('a prompt that is longer than those seen takes longer, a shorter one no less', (t) => {
  t.is(estimatePrefillMs([build(1000)], 300), 3000);
  t.is(estimatePrefillMs([build(1000)], 50), 1000);
});

test('nothing is known before the first sample', (t) => {
  t.is(estimatePrefillMs([], 100), Infinity);
});
