import test from 'ava';
import { computeLongPollMs } from '.';

const CALL_MARGIN_MS = 600;

// Guards against late changes after an outage: a call that was sent just before the store came back
// was lost and given up only after 5.0 s, because the wait was computed from the sum of `changeMs`
// and `settleMs`. The change was in force 3.7 s after its acknowledgement.
test('a lost call is given up and its changes are fetched within the settling time', (t) => {
  [2500, 3000, 4000].forEach((settleMs) => {
    t.true(computeLongPollMs({ settleMs }) + CALL_MARGIN_MS < settleMs);
  });
  t.is(computeLongPollMs({ settleMs: 3000 }), 1700);
  t.is(computeLongPollMs({ settleMs: 4000 }), 2700);
});

test('the wait is at least one second if the settling time is too short', (t) => {
  t.is(computeLongPollMs({ settleMs: 0 }), 1000);
});
