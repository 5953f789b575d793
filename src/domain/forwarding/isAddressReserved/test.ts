import test from 'ava';
import { isAddressReserved } from '.';

test('an address is reserved for its service until it may be reused', (t) => {
  t.true(isAddressReserved({ lastAnswerAtMs: 1000, nowMs: 2999, reuseAfterMs: 2000 }));
  t.false(isAddressReserved({ lastAnswerAtMs: 1000, nowMs: 3000, reuseAfterMs: 2000 }));
});

test('the address of a server that never answered is not reserved', (t) => {
  t.false(isAddressReserved({ lastAnswerAtMs: -Infinity, nowMs: 0, reuseAfterMs: 2000 }));
});
