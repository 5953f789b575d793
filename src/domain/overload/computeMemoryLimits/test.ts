import test from 'ava';
import { computeMemoryLimits } from '.';

test('streams are refused before calls, and calls before answers, within the free memory', (t) => {
  const { answer, call, stream } = computeMemoryLimits({ memoryBytes: 300, baseBytes: 100 });
  t.true(stream > 0 && stream < call && call < answer && answer < 200);
});

test('a process whose base exceeds its memory still has room for requests', (t) => {
  t.true(computeMemoryLimits({ memoryBytes: 100, baseBytes: 150 }).stream > 0);
});
