import test from 'ava';
import { decidePermit } from '.';

const BASE = { sentAtMs: [1000], limitPerS: 2, nowMs: 1000, askingVms: 1, draw: 0 };

test('a request within the limit is granted', (t) => {
  t.deepEqual(decidePermit({ ...BASE, nowMs: 1500 }), { isGranted: true, waitMs: 0 });
});

test('a request beyond the limit is refused until the next one may be sent', (t) => {
  t.deepEqual(decidePermit(BASE), { isGranted: false, waitMs: 500 });
});

test('the wait grows with the number of asking VMs, up to two seconds', (t) => {
  const { waitMs } = decidePermit({ ...BASE, askingVms: 8, draw: 0.5 });
  t.is(waitMs, 1000);
  t.is(decidePermit({ ...BASE, askingVms: 195, draw: 0.5 }).waitMs, 2000);
});

test('the slack allows requests beyond the limit', (t) => {
  t.true(decidePermit({ ...BASE, slack: 1 }).isGranted);
  t.false(decidePermit({ ...BASE, sentAtMs: [999, 1000], slack: 1 }).isGranted);
});
