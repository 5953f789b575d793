import test from 'ava';
import { isAddressReserved } from '.';

test('an address stays with its service until it may be used again', (t) => {
  t.true(isAddressReserved({ lastAnswerAtMs: 1000, nowMs: 2999, reuseAfterMs: 2000 }));
  t.false(isAddressReserved({ lastAnswerAtMs: 1000, nowMs: 3000, reuseAfterMs: 2000 }));
});

test('nothing is concluded of a server that never answered', (t) => {
  t.false(isAddressReserved({ lastAnswerAtMs: -Infinity, nowMs: 0, reuseAfterMs: 2000 }));
});
