import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { createProbeAllowance } from '.';

test('requests earn probes, and time earns few', (t) => {
  const clock = createFakeClock();
  const allowance = createProbeAllowance(clock);
  t.is(allowance.take(100), 32);
  t.false(allowance.hasAny());
  clock.advance(10_000);
  t.is(allowance.take(100), 5);
  for (let request = 0; request < 10; request += 1) allowance.recordRequest();
  t.is(allowance.take(100, 3), 2);
  t.is(allowance.take(100), 3);
});

test('unused probes do not add up without a bound', (t) => {
  const clock = createFakeClock();
  const allowance = createProbeAllowance(clock);
  clock.advance(1_000_000);
  for (let request = 0; request < 1000; request += 1) allowance.recordRequest();
  t.is(allowance.take(100), 32);
});
