import test from 'ava';
import { decidePermit } from '.';

const BASE = { sentAtMs: [1000], limitPerS: 2, nowMs: 1000, askingVms: 1, draw: 0 };

test('a request within the limit may be sent', (t) => {
  t.deepEqual(decidePermit({ ...BASE, nowMs: 1500 }), { isGranted: true, waitMs: 0 });
});

test('one beyond it is to be asked for again when the next one may be sent', (t) => {
  t.deepEqual(decidePermit(BASE), { isGranted: false, waitMs: 500 });
});

test('many that ask come back spread over the time that it takes to serve them, two seconds at most', (t) => {
  const { waitMs } = decidePermit({ ...BASE, askingVms: 8, draw: 0.5 });
  t.is(waitMs, 1000);
  t.is(decidePermit({ ...BASE, askingVms: 195, draw: 0.5 }).waitMs, 2000);
});

test('whoever confirms a permit allows one request more', (t) => {
  t.true(decidePermit({ ...BASE, slack: 1 }).isGranted);
  t.false(decidePermit({ ...BASE, sentAtMs: [999, 1000], slack: 1 }).isGranted);
});
