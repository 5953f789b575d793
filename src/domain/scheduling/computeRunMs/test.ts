import test from 'ava';
import { computeRunMs } from '.';

const STREAM = { promptTokens: 8000, outputTokens: 1000, goalMs: 4000 };
const PACE = { prefillMsPerToken: 0.125, decodeMsPerToken: 5, callMs: 0, workFactor: 1 };

test('each run beside it adds a prefill, and all is scaled by the work factor', (t) => {
  t.deepEqual(computeRunMs(PACE, { ...STREAM, runs: 3 }), { prefillMs: 1000, runMs: 8000 });
  const slow = computeRunMs({ ...PACE, workFactor: 2.5 }, { ...STREAM, runs: 3 });
  t.deepEqual(slow, { prefillMs: 2500, runMs: 20_000 });
});

test('unknown paces are taken from the goal', (t) => {
  const unknown = { ...PACE, prefillMsPerToken: 0, decodeMsPerToken: 0 };
  t.deepEqual(computeRunMs(unknown, { ...STREAM, runs: 1 }), { prefillMs: 1000, runMs: 5000 });
});
