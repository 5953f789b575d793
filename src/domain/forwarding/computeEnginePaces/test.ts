import test from 'ava';
import fc from 'fast-check';
import { buildServerReport } from '../../../../standins/fakes';
import { predictFirstEventMs } from '../predictFirstEventMs';
import { computeEnginePaces } from '.';

const BASE = { prefillMsPerToken: 0.125, runMs: 6000 };
const USUAL = { prefillMsPerToken: 0.125, decodeMsPerToken: 20, callMs: 0, workFactor: 1 };

test('a slow server takes longer for prompts and for whole runs', (t) => {
  const own = { ...USUAL, prefillMsPerToken: 0.25, decodeMsPerToken: 40, workFactor: 1.5 };
  t.deepEqual(computeEnginePaces(BASE, own, USUAL), { prefillMsPerToken: 0.375, runMs: 18_000 });
});

test('an unknown prefill pace is that of the service, an unknown one of both stays unknown', (t) => {
  const unknown = { ...USUAL, prefillMsPerToken: 0 };
  t.is(computeEnginePaces(BASE, unknown, USUAL).prefillMsPerToken, 0.125);
  const none = { prefillMsPerToken: 0, runMs: 0 };
  t.deepEqual(computeEnginePaces(none, { ...unknown, workFactor: 2.5 }, USUAL), none);
});

test('without paces of servers, the predicted first event is the one of the service', (t) => {
  const unknown = { prefillMsPerToken: 0, decodeMsPerToken: 0, callMs: 0, workFactor: 1 };
  const count = fc.nat(30);
  fc.assert(
    fc.property(count, count, fc.nat(88_000), (waiting, running, kvUsedTokens) => {
      const predict = (paces: typeof BASE): number =>
        predictFirstEventMs(buildServerReport({ waiting, running, kvUsedTokens }), {
          promptTokens: 8000,
          neededKvTokens: 9000,
          pendingPrefillTokens: 0,
          latencyGoalMs: 4500,
          paces,
        });
      t.is(predict(computeEnginePaces(BASE, unknown, unknown)), predict(BASE));
    }),
  );
});
