import test from 'ava';
import { computeFollowWait } from '.';

test('a call that fell silent is given up before the VM must be up to date again', (t) => {
  t.is(computeFollowWait({ settleMs: 3000, changeMs: 2000 }), 4400);
  t.is(computeFollowWait({ settleMs: 4000, changeMs: 3000 }), 6400);
});

test('bounds that leave no time do not make a loop without a pause', (t) => {
  t.is(computeFollowWait({ settleMs: 0, changeMs: 100 }), 1000);
});
