import test from 'ava';
import { buildScheduledServer, buildStreamDemand } from '../../../../standins/fakes';
import { isStreamStartable } from '.';

const OPTIONS = { goalMs: 4000, isLastChance: false };
const demand = buildStreamDemand('t');
const isStartable = (change: object, left = {}, options = OPTIONS): boolean =>
  isStreamStartable(buildScheduledServer('a', change), { ...demand, ...left }, options);

test('an idle server starts a stream; a full one, or one that prefills another, does not', (t) => {
  t.true(isStartable({}));
  t.false(isStartable({ slots: 3, runs: 3 }));
  t.true(isStartable({ pendingPrefillMs: 100 }));
  t.false(isStartable({ pendingPrefillMs: 101 }));
  t.false(isStartable({ isUsable: false }));
});

test('the memory must hold the prompt and all of the output; 0 in total is unknown', (t) => {
  t.true(isStartable({ kvUsedTokens: 79_000 }));
  t.false(isStartable({ kvUsedTokens: 79_001 }));
  t.true(isStartable({ kvUsedTokens: 79_001, kvTotalTokens: 0 }));
});

test('a run may take half of the time left, so that it can be repeated', (t) => {
  t.true(isStartable({ runs: 6 }));
  t.false(isStartable({ runs: 7 }));
  t.true(isStartable({ runs: 7 }, {}, { ...OPTIONS, isLastChance: true }));
});

test('an idle server also takes a stream that has time for one run only', (t) => {
  t.true(isStartable({}, { leftMs: 6000 }));
  t.false(isStartable({}, { leftMs: 5999 }));
  t.false(isStartable({ runs: 1 }, { leftMs: 8000 }));
});
