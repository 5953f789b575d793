import test from 'ava';
import { estimateRunning } from '.';

test('corrects the report by later changes, and never goes below what is known', (t) => {
  t.is(estimateRunning({ reported: null, changeSince: 5, own: 2, peers: 1 }), 3);
  t.is(estimateRunning({ reported: 4, changeSince: 2, own: 2, peers: 1 }), 6);
  t.is(estimateRunning({ reported: 4, changeSince: -4, own: 2, peers: 1 }), 3);
  t.is(estimateRunning({ reported: 0, changeSince: -2, own: 0, peers: 0 }), 0);
});
