import test from 'ava';
import { checkTableReaders } from '.';
import { checkFreshness, FRESHNESS_LIMIT_MS } from '../checkFreshness';

test('at least half must read; an empty list is no reason to refuse', (t) => {
  t.true(checkTableReaders({ vmsListed: 0, vmsReading: 0 }).isOk());
  t.true(checkTableReaders({ vmsListed: 8, vmsReading: 4 }).isOk());
  t.true(checkTableReaders({ vmsListed: 9, vmsReading: 4 }).isErr());
});

// Symptom: five of nine VMs serve by version 4 for an hour while version 5 is accepted.
// Sequence: a partition leaves table, operator and four VMs on one side; the operator applies.
// Cause: the five hear more than half of the VMs and take the table to be down for all.
test('no split lets a change be accepted while the other side goes on', (t) => {
  for (let vmsListed = 1; vmsListed <= 12; vmsListed += 1) {
    for (let vmsReading = 0; vmsReading < vmsListed; vmsReading += 1) {
      const otherSide = checkFreshness({
        newestReadAgeMs: FRESHNESS_LIMIT_MS + 1,
        vmsHeard: vmsListed - vmsReading,
        vmsRegistered: vmsListed,
        behindMs: 0,
      });
      const isAccepted = checkTableReaders({ vmsListed, vmsReading }).isOk();
      t.false(isAccepted && otherSide.isOk(), `${vmsReading} of ${vmsListed} read`);
    }
  }
});
