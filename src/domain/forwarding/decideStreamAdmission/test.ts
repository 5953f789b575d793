import test from 'ava';
import { decideStreamAdmission } from '.';

const OPTIONS = {
  predictedMs: 2000,
  isFree: false,
  latencyGoalMs: 4500,
  leftMs: 24_000,
  isReturning: false,
  overloadMs: 0,
  draw: 0.5,
};

test('a stream that is predicted to start within the latency goal is sent', (t) => {
  t.deepEqual(decideStreamAdmission(OPTIONS), { kind: 'send' });
});

test('a stream that would start too late is refused and told to retry after the predicted wait', (t) => {
  const decision = decideStreamAdmission({ ...OPTIONS, predictedMs: 6000 });
  t.is(decision.kind, 'refuse');
  t.is(decision.kind === 'refuse' ? decision.returnMs : 0, 6000);
});

test('a retried stream that is refused again is not told to retry', (t) => {
  const returning = { ...OPTIONS, isReturning: true, leftMs: 15_000 };
  t.deepEqual(decideStreamAdmission(returning), { kind: 'send' });
  const decision = decideStreamAdmission({ ...returning, predictedMs: 6000 });
  t.is(decision.kind === 'refuse' ? decision.returnMs : -1, 0);
});

test('a stream with a long prefill is sent if a server is free', (t) => {
  t.is(decideStreamAdmission({ ...OPTIONS, predictedMs: 6000, isFree: true }).kind, 'send');
});

test("a stream that would start after the caller's deadline is refused", (t) => {
  t.is(decideStreamAdmission({ ...OPTIONS, leftMs: 1900 }).kind, 'refuse');
  t.is(decideStreamAdmission({ ...OPTIONS, leftMs: 1900, isFree: true }).kind, 'refuse');
});
