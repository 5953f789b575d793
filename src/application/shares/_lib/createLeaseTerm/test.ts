import test from 'ava';
import { createFakeClock } from '../../../../../standins/fakes';
import { createVmClock } from '../../../../../standins/rows';
import { createLeaseTerm } from '.';

// Guards against parts that two VMs use: the monotonic clock of a VM that was suspended does not show
// that its lease has ended.
test('a lease from before a suspension holds no parts', (t) => {
  const world = createFakeClock();
  const clock = createVmClock(world);
  const term = createLeaseTerm(clock, { leaseMs: 1000, usableFromMs: 0 });
  term.start(5, 0);
  world.advance(10);
  t.is(term.countUsable(), 5);
  clock.pause('suspended');
  world.advance(5000);
  clock.resume();
  t.is(term.countUsable(), 0);
  t.true(term.hasEnded());
  term.start(4, clock.readMonotonicMs());
  t.is(term.countUsable(), 4);
});
