import test from 'ava';
import { compareVerdicts } from '.';
import { RolloutState } from '../types';

const verdict = { sequence: 7, state: RolloutState.InProgress, isStored: false };

test('a newer order goes before an older one, whatever became of that', (t) => {
  const reverted = { ...verdict, state: RolloutState.Reverted, isStored: true };
  t.true(compareVerdicts({ ...verdict, sequence: 8 }, reverted) > 0);
});

test('of two verdicts that the store does not hold the more careful one stands', (t) => {
  const reverted = { ...verdict, state: RolloutState.Reverted };
  t.true(compareVerdicts(reverted, { ...verdict, state: RolloutState.Completed }) > 0);
});

test('what the store holds stands', (t) => {
  const completed = { ...verdict, state: RolloutState.Completed, isStored: true };
  t.true(compareVerdicts(completed, { ...verdict, state: RolloutState.Reverted }) > 0);
  t.is(compareVerdicts(completed, completed), 0);
});
