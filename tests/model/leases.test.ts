// Every order of the steps of two keepers of one region, in small ticks of time: pauses anywhere (a
// keeper that does not move while time does), answers lost after the write took effect, writes that
// arrive after they were given up, orders under way. The engine ignores fencing tokens.
import test from 'ava';
import { createLeaseModel, LEASE_RULES, type LeaseRules } from './_lib/createLeaseModel';
import { findViolation } from './_lib/findViolation';

const BOUNDS = [
  { faults: 1, revisions: 2 },
  { faults: 0, revisions: 3 },
];

BOUNDS.forEach((bounds) => {
  test(`no old order arrives after a newer one: ${JSON.stringify(bounds)}`, (t) => {
    const { states, violation } = findViolation(createLeaseModel(LEASE_RULES, bounds));
    t.is(violation, null);
    t.log(`${states} states`);
    t.true(states > 10_000);
  });
});

const SEEDED: readonly (readonly [string, Partial<LeaseRules>])[] = [
  ['a keeper that trusts its lease for ever', { isOrderAllowed: (held) => held !== null }],
  [
    'an order sent up to the end of the lease',
    {
      isOrderAllowed: (held, nowMs) => LEASE_RULES.isOrderAllowed(held, nowMs, -1),
    },
  ],
  [
    'a takeover before the lease has run out',
    {
      isTakeoverDue: (sighting, nowMs, marginMs) =>
        LEASE_RULES.isTakeoverDue(sighting, nowMs, marginMs - 2),
    },
  ],
  ['a lease counted from the answer', { countsFrom: 'answer' }],
];

SEEDED.forEach(([name, rules]) => {
  test(`finds a seeded fault: ${name}`, (t) => {
    const model = createLeaseModel({ ...LEASE_RULES, ...rules }, { faults: 0, revisions: 3 });
    const { violation } = findViolation(model);
    t.truthy(violation);
    t.log(`${violation?.reason}, after ${violation?.path.length} steps`);
  });
});
