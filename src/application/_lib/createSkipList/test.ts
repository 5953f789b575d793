import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createSkipList } from '.';

test('a name is skipped for two seconds from its last failure', (t) => {
  const clock = createFakeClock();
  const skipped = createSkipList(clock);
  skipped.add('vm-1');
  clock.advance(1999);
  t.true(skipped.has('vm-1'));
  t.false(skipped.has('vm-2'));
  skipped.add('vm-1');
  clock.advance(1999);
  t.true(skipped.has('vm-1'));
  clock.advance(1);
  t.false(skipped.has('vm-1'));
});
