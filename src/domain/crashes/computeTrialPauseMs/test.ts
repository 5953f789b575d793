import test from 'ava';
import { computeTrialPauseMs } from '.';

const computePauses = (neededCrashes: number, crashes: readonly number[]): readonly number[] =>
  crashes.map((count) => computeTrialPauseMs({ crashes: count, neededCrashes }));

test('each failed trial is followed by a longer pause, until there are no more trials', (t) => {
  t.deepEqual(computePauses(3, [3, 4, 5, 6]), [1000, 4000, Infinity, Infinity]);
  t.deepEqual(computePauses(5, [3, 4, 5, 6]), [1000, 1000, Infinity, Infinity]);
});
