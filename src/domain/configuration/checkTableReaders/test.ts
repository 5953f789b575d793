import test from 'ava';
import { checkTableReaders } from '.';
import { checkFreshness, FRESHNESS_LIMIT_MS } from '../checkFreshness';

test('a change needs at least half of the listed VMs as readers, if any are listed', (t) => {
  t.true(checkTableReaders({ vmsListed: 0, vmsReading: 0 }).isOk());
  t.true(checkTableReaders({ vmsListed: 8, vmsReading: 4 }).isOk());
  t.true(checkTableReaders({ vmsListed: 9, vmsReading: 4 }).isErr());
});

// Guards against five of nine VMs that serve under version 4 while version 5 is accepted: a
// partition leaves the table, the operator and four VMs on the other side, and the five VMs are in
// contact with a majority and assume that the table is down for all.
test('no change is accepted while the other side of a partition continues', (t) => {
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
