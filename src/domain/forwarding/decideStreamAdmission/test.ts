import test from 'ava';
import { decideStreamAdmission } from '.';

const CHOICE = {
  predictedMs: 2000,
  isFree: false,
  latencyGoalMs: 4500,
  leftMs: 24_000,
  isReturning: false,
  overloadMs: 0,
  draw: 0.5,
};

test('a stream that can begin within the goal is sent', (t) => {
  t.deepEqual(decideStreamAdmission(CHOICE), { kind: 'send' });
});

test('one that can not is refused at once, and told to come back once the wait is over', (t) => {
  const decision = decideStreamAdmission({ ...CHOICE, predictedMs: 6000 });
  t.is(decision.kind, 'refuse');
  t.is(decision.kind === 'refuse' ? decision.returnMs : 0, 6000);
});

test('one that came back is not told to come back again', (t) => {
  const returning = { ...CHOICE, isReturning: true, leftMs: 15_000 };
  t.deepEqual(decideStreamAdmission(returning), { kind: 'send' });
  const decision = decideStreamAdmission({ ...returning, predictedMs: 6000 });
  t.is(decision.kind === 'refuse' ? decision.returnMs : -1, 0);
});

test('one that takes long to read is sent to a server that is free', (t) => {
  t.is(decideStreamAdmission({ ...CHOICE, predictedMs: 6000, isFree: true }).kind, 'send');
});

test('nothing is sent that begins after the caller has left', (t) => {
  t.is(decideStreamAdmission({ ...CHOICE, leftMs: 1900 }).kind, 'refuse');
  t.is(decideStreamAdmission({ ...CHOICE, leftMs: 1900, isFree: true }).kind, 'refuse');
});
