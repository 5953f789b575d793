// Explores every interleaving of two keepers of one region in discrete time, with pauses of a
// keeper, answers lost after the write was applied, writes that arrive after they were given up,
// and orders in flight. The engine ignores fencing tokens.
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

const FAULTY_RULES: readonly (readonly [string, Partial<LeaseRules>])[] = [
  ['a keeper never lets its lease expire', { isOrderAllowed: (held) => held !== null }],
  [
    'orders are sent until the end of the lease',
    {
      isOrderAllowed: (held, nowMs) => LEASE_RULES.isOrderAllowed(held, nowMs, -1),
    },
  ],
  [
    'a takeover happens before the lease has expired',
    {
      isTakeoverDue: (observation, nowMs, marginMs) =>
        LEASE_RULES.isTakeoverDue(observation, nowMs, marginMs - 2),
    },
  ],
  ['the lease starts at the answer', { countsFrom: 'answer' }],
];

FAULTY_RULES.forEach(([name, rules]) => {
  test(`finds a seeded fault: ${name}`, (t) => {
    const model = createLeaseModel({ ...LEASE_RULES, ...rules }, { faults: 0, revisions: 3 });
    const { violation } = findViolation(model);
    t.truthy(violation);
    t.log(`${violation?.reason}, after ${violation?.path.length} steps`);
  });
});
