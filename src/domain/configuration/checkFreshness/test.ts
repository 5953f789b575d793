import test from 'ava';
import { checkFreshness, FRESHNESS_LIMIT_MS } from '.';

const STALE = FRESHNESS_LIMIT_MS + 1;

/** Computes the result for one VM; a `null` age means that no read is known. */
function checkCase(newestReadAgeMs: number | null, vmsHeard: number, vmsRegistered: number) {
  const verdict = checkFreshness({ newestReadAgeMs, vmsHeard, vmsRegistered, behindMs: 0 });
  return verdict.match(
    (freshness) => freshness,
    ({ kind }) => kind,
  );
}

// The cases of the table in docs/decisions/010-configuration.md.
const CASES = [
  ['a recent read by any reachable VM is sufficient', FRESHNESS_LIMIT_MS, 1, 9, 'fresh'],
  ['store down, all VMs in contact', STALE, 9, 9, 'store-down'],
  ['store down, a bare majority in contact', STALE, 5, 9, 'store-down'],
  ['the smaller side of a partition, without the store', STALE, 4, 9, 'cut-off'],
  ['an even partition, on the side without the store', STALE, 4, 8, 'cut-off'],
  ['a lone VM, store down', STALE, 1, 1, 'store-down'],
  ['one of two VMs, store down', STALE, 1, 2, 'cut-off'],
  ['both of two VMs, store down', STALE, 2, 2, 'store-down'],
  ['started in an outage, majority in contact, no read known', null, 6, 9, 'store-down'],
  ['started in an outage, minority in contact', null, 2, 9, 'cut-off'],
] as const;

CASES.forEach(([title, age, heard, registered, expected]) => {
  test(title, (t) => {
    t.is(checkCase(age, heard, registered), expected);
  });
});

// Guards against a VM that serves under version 4 while version 5 is in force and reports itself as
// fresh: the VM cannot read the table, learns of version 5 from a peer and fails to fetch it, but
// the read of the peer still counts as fresh.
test('a VM is cut off if a known higher version does not arrive in time', (t) => {
  const evidence = { newestReadAgeMs: 10, vmsHeard: 9, vmsRegistered: 9 };
  t.true(checkFreshness({ ...evidence, behindMs: FRESHNESS_LIMIT_MS }).isOk());
  t.true(checkFreshness({ ...evidence, behindMs: STALE }).isErr());
});

// Covers every partition of up to nine VMs into two sides without contact. A smaller side that
// reads the table continues as well; `checkTableReaders` covers that case.
test('at most one side of a partition continues without the table', (t) => {
  for (let registered = 1; registered <= 9; registered += 1) {
    for (let heard = 1; heard < registered; heard += 1) {
      const continuing = [heard, registered - heard].filter(
        (side) => checkCase(STALE, side, registered) !== 'cut-off',
      );
      t.true(continuing.length <= 1, `${heard} of ${registered}`);
    }
  }
});
