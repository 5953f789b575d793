import test from 'ava';
import { computeLongPollMs } from '.';

const CALL_MARGIN_MS = 600;

// Symptom: a change was in force 3.7 s after it was acknowledged, once an outage was over.
// Sequence: a call was sent just before the store came back, was lost, and given up 5.0 s later.
// Cause: the limit added the time that a change has to the settling time, which do not add up.
test('a call that fell silent is given up and made good within the settling time', (t) => {
  [2500, 3000, 4000].forEach((settleMs) => {
    t.true(computeLongPollMs({ settleMs }) + CALL_MARGIN_MS < settleMs);
  });
  t.is(computeLongPollMs({ settleMs: 3000 }), 1700);
  t.is(computeLongPollMs({ settleMs: 4000 }), 2700);
});

test('bounds that leave no time do not make a loop without a pause', (t) => {
  t.is(computeLongPollMs({ settleMs: 0 }), 1000);
});
