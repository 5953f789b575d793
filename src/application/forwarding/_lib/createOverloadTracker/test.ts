import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import { createOverloadTracker } from '.';

test('an overload lasts from the first late stream until no stream was late for a while', (t) => {
  const clock = createFakeClock();
  const tracker = createOverloadTracker(clock);
  tracker.recordAdmission('s', true);
  t.is(tracker.readOverloadMs('s'), 0);
  tracker.recordAdmission('s', false);
  clock.advance(1000);
  tracker.recordAdmission('s', false);
  clock.advance(1000);
  t.is(tracker.readOverloadMs('s'), 2000);
  t.is(tracker.readOverloadMs('other'), 0);
  clock.advance(500);
  t.is(tracker.readOverloadMs('s'), 0);
});
