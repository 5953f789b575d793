import test from 'ava';
import { checkFreshness, FRESHNESS_LIMIT_MS } from '.';

const STALE = FRESHNESS_LIMIT_MS + 1;

/** Verdict of one VM; `null` stands for no known read. */
function judge(newestReadAgeMs: number | null, vmsHeard: number, vmsRegistered: number) {
  const verdict = checkFreshness({ newestReadAgeMs, vmsHeard, vmsRegistered, behindMs: 0 });
  return verdict.match(
    (freshness) => freshness,
    ({ kind }) => kind,
  );
}

// The cases of the table in docs/decisions/010-configuration.md.
const CASES = [
  ['a read of any VM in reach is enough', FRESHNESS_LIMIT_MS, 1, 9, 'fresh'],
  ['store down, all heard', STALE, 9, 9, 'store-down'],
  ['store down, a bare majority heard', STALE, 5, 9, 'store-down'],
  ['the smaller side without the store', STALE, 4, 9, 'cut-off'],
  ['an even split, on the side without the store', STALE, 4, 8, 'cut-off'],
  ['a lone VM, store down', STALE, 1, 1, 'store-down'],
  ['one of two VMs, store down', STALE, 1, 2, 'cut-off'],
  ['both of two VMs, store down', STALE, 2, 2, 'store-down'],
  ['booted in an outage, peers heard, no read known', null, 6, 9, 'store-down'],
  ['booted in an outage, few peers heard', null, 2, 9, 'cut-off'],
] as const;

CASES.forEach(([title, age, heard, registered, expected]) => {
  test(title, (t) => {
    t.is(judge(age, heard, registered), expected);
  });
});

// Symptom: a VM serves by version 4 while version 5 is in force, and reports itself fresh.
// Sequence: it cannot read the table; a peer that can has told of version 5; fetching it fails.
// Cause: the peer's read made the VM fresh without the version that the read had shown.
test('a known higher version that does not arrive cuts off', (t) => {
  const evidence = { newestReadAgeMs: 10, vmsHeard: 9, vmsRegistered: 9 };
  t.true(checkFreshness({ ...evidence, behindMs: FRESHNESS_LIMIT_MS }).isOk());
  t.true(checkFreshness({ ...evidence, behindMs: STALE }).isErr());
});

// Every split of up to nine VMs into two sides that hear only themselves: with the table on one
// side, or on none, at most one side goes on, but for one case: the larger side has no table.
test('of two sides, one at most goes on without the table', (t) => {
  for (let registered = 1; registered <= 9; registered += 1) {
    for (let heard = 1; heard < registered; heard += 1) {
      const goingOn = [heard, registered - heard].filter(
        (side) => judge(STALE, side, registered) !== 'cut-off',
      );
      t.true(goingOn.length <= 1, `${heard} of ${registered}`);
    }
  }
});
