import test from 'ava';
import { buildServerReport as report } from '../../../../standins/fakes';
import { predictFirstEventMs } from '.';

const OPTIONS = {
  promptTokens: 8000,
  neededKvTokens: 9000,
  pendingPrefillTokens: 0,
  paces: { prefillMsPerToken: 0.125, runMs: 6000 },
  latencyGoalMs: 4500,
};

test('an idle server takes the prefill time of the prompt', (t) => {
  t.is(predictFirstEventMs(report(), OPTIONS), 1000);
});

test('waiting prompts count in full, one in prefill by half', (t) => {
  t.is(predictFirstEventMs(report({ waiting: 2, running: 1 }), OPTIONS), 3500);
});

test('prompts known to have been sent count before the server reports them', (t) => {
  t.is(predictFirstEventMs(report(), { ...OPTIONS, pendingPrefillTokens: 16_000 }), 3000);
});

test('a run waits until enough KV memory is free', (t) => {
  const runs = new Map(Array.from({ length: 9 }, (_, index) => [`r-${index}`, 5]));
  const full = report({ running: 9, eventsByRun: runs, kvUsedTokens: 88_000, waiting: 2 });
  // Three runs have to end, one every 667 ms.
  t.is(Math.round(predictFirstEventMs(full, OPTIONS)), 3000);
  t.is(Math.round(predictFirstEventMs({ ...full, waiting: 5 }, OPTIONS)), 6000);
});

test('an unknown prefill speed counts as slow', (t) => {
  const paces = { prefillMsPerToken: 0, runMs: 0 };
  t.is(predictFirstEventMs(report(), { ...OPTIONS, paces }), 1125);
});
