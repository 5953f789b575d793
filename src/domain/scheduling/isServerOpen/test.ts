import test from 'ava';
import { buildScheduledServer } from '../../../../standins/fakes';
import { isServerOpen } from '.';

test('a server is open with a free slot and no prefill that a stream would wait for', (t) => {
  const isOpen = (change: object): boolean => isServerOpen(buildScheduledServer('a', change));
  t.true(isOpen({ pendingPrefillMs: 100 }));
  t.false(isOpen({ pendingPrefillMs: 101 }));
  t.false(isOpen({ slots: 3, runs: 3 }));
  t.false(isOpen({ isUsable: false }));
});
