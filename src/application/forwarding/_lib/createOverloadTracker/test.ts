import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import { createOverloadTracker } from '.';

test('an overload lasts from the first stream that is late until none was for a while', (t) => {
  const clock = createFakeClock();
  const watch = createOverloadTracker(clock);
  watch.recordAdmission('s', true);
  t.is(watch.readOverloadMs('s'), 0);
  watch.recordAdmission('s', false);
  clock.advance(1000);
  watch.recordAdmission('s', false);
  clock.advance(1000);
  t.is(watch.readOverloadMs('s'), 2000);
  t.is(watch.readOverloadMs('other'), 0);
  clock.advance(500);
  t.is(watch.readOverloadMs('s'), 0);
});
