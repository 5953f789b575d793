import test from 'ava';
import { estimateRunningRequests } from '.';

const FRESH = { own: 2, peers: 1, others: 4, meanOthers: 3, freshness: 1 };

test('adds own requests to those of others, which are never fewer than peers say', (t) => {
  t.is(estimateRunningRequests(FRESH), 6);
  t.is(estimateRunningRequests({ ...FRESH, others: null }), 3);
  t.is(estimateRunningRequests({ ...FRESH, others: 0 }), 3);
  t.is(estimateRunningRequests({ ...FRESH, others: -2, peers: 0 }), 2);
});

test('of requests that end within a report interval the mean counts, not the newest report', (t) => {
  // Symptom: lookups of an idle system wait behind each other, and some go to slow engines.
  // Sequence: a report of 6 lookups, all over 150 ms later; for the next 500 ms none is sent there.
  // Cause: the report was taken as the present, though it was older than what it told of.
  t.is(estimateRunningRequests({ ...FRESH, others: 6, freshness: 0 }), 5);
  t.is(estimateRunningRequests({ ...FRESH, others: 0, freshness: 0.5 }), 3.5);
});
