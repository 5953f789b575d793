import test from 'ava';
import { compareVerdicts } from '.';
import { RolloutState } from '../types';

const verdict = { sequence: 7, state: RolloutState.InProgress, isStored: false };

test('the verdict on a newer order takes precedence over any on an older one', (t) => {
  const reverted = { ...verdict, state: RolloutState.Reverted, isStored: true };
  t.true(compareVerdicts({ ...verdict, sequence: 8 }, reverted) > 0);
});

test('of two verdicts that are not stored, the more cautious one takes precedence', (t) => {
  const reverted = { ...verdict, state: RolloutState.Reverted };
  t.true(compareVerdicts(reverted, { ...verdict, state: RolloutState.Completed }) > 0);
});

test('a stored verdict takes precedence', (t) => {
  const completed = { ...verdict, state: RolloutState.Completed, isStored: true };
  t.true(compareVerdicts(completed, { ...verdict, state: RolloutState.Reverted }) > 0);
  t.is(compareVerdicts(completed, completed), 0);
});
