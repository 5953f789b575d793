import test from 'ava';
import { decideRollout, SWITCH_MS, type RolloutProgress } from '.';
import { RolloutState } from '../types';

const progress: RolloutProgress = {
  state: RolloutState.InProgress,
  ageMs: 1000,
  durationMs: 12_000,
  switchedMs: 0,
  judgement: { kind: 'unknown', reason: '' },
  hasEstablished: true,
};

const BAD = { kind: 'bad', route: 'r', reason: '' } as const;
const SOUND = { kind: 'sound' } as const;

test('a bad version is reverted at once, even while requests switch to it', (t) => {
  t.is(decideRollout({ ...progress, judgement: BAD }), RolloutState.Reverted);
  const switching = { ...progress, state: RolloutState.Switching, judgement: BAD };
  t.is(decideRollout(switching), RolloutState.Reverted);
});

test('a sound version is observed for most of the time before requests switch to it', (t) => {
  const early = { ...progress, judgement: SOUND, ageMs: 5000 };
  t.is(decideRollout(early), RolloutState.InProgress);
  t.is(decideRollout({ ...early, ageMs: 8000 }), RolloutState.Switching);
});

test('a version is completed only once all VMs have switched to it', (t) => {
  const switching = { ...progress, state: RolloutState.Switching, judgement: SOUND };
  t.is(decideRollout({ ...switching, switchedMs: SWITCH_MS - 1 }), RolloutState.Switching);
  t.is(decideRollout({ ...switching, switchedMs: SWITCH_MS }), RolloutState.Completed);
});

test('a version that has not been shown to be sound in time is reverted', (t) => {
  t.is(decideRollout({ ...progress, ageMs: 11_000 }), RolloutState.Reverted);
  t.is(decideRollout({ ...progress, ageMs: 60_000, judgement: SOUND }), RolloutState.Reverted);
});

test('a final state does not change with a later judgement', (t) => {
  const completed = { ...progress, state: RolloutState.Completed, judgement: BAD };
  t.is(decideRollout(completed), RolloutState.Completed);
  const reverted = { ...progress, state: RolloutState.Reverted, judgement: SOUND };
  t.is(decideRollout(reverted), RolloutState.Reverted);
});

test('a roll-out is complete if all servers have the ordered version', (t) => {
  const onlyOrdered = { ...progress, hasEstablished: false };
  t.is(decideRollout(onlyOrdered), RolloutState.InProgress);
  t.is(decideRollout({ ...onlyOrdered, ageMs: 2500 }), RolloutState.Completed);
});
