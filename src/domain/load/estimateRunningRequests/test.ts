import test from 'ava';
import { estimateRunningRequests } from '.';

const FRESH = { own: 2, peers: 1, others: 4, meanOthers: 3, freshness: 1 };

test('the requests of other VMs are at least as many as those VMs report', (t) => {
  t.is(estimateRunningRequests(FRESH), 6);
  t.is(estimateRunningRequests({ ...FRESH, others: null }), 3);
  t.is(estimateRunningRequests({ ...FRESH, others: 0 }), 3);
  t.is(estimateRunningRequests({ ...FRESH, others: -2, peers: 0 }), 2);
});

test('the mean counts instead of a report that is no longer fresh', (t) => {
  // Guards against lookups that queue or go to slow engines in an idle system: a report listed 6
  // lookups that ended 150 ms later, and the server got none for the next 500 ms, because the
  // report was taken for the current state.
  t.is(estimateRunningRequests({ ...FRESH, others: 6, freshness: 0 }), 5);
  t.is(estimateRunningRequests({ ...FRESH, others: 0, freshness: 0.5 }), 3.5);
});
