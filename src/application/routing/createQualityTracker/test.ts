import test from 'ava';
import type { LoadReport } from '../../../domain/types';
import { buildConfiguration, buildServer } from '../_lib/createRouterFixture';
import { createLoadView } from '../createLoadView';
import { createQualityTracker } from '.';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

const createBench = () => {
  let nowMs = 0;
  const timers: { readonly atMs: number; readonly callback: () => void }[] = [];
  const clock = {
    readWallMs: () => nowMs,
    readMonotonicMs: () => nowMs,
    startTimer: (delayMs: number, callback: () => void) => {
      timers.push({ atMs: nowMs + delayMs, callback });
      return () => {};
    },
  };
  const servers = NAMES.map((name) => buildServer(name, ['long'], 4));
  const configuration = buildConfiguration(servers, 1);
  const current = { version: 1, configuration, appliedAtMs: 0, appliedBy: '', comment: '' };
  const load = createLoadView({ clock });
  const tracker = createQualityTracker({
    configuration: { readCurrent: () => current, addListener: () => () => {} },
    load,
    clock,
  });
  const changes: string[] = [];
  tracker.addListener((name, ejected) => changes.push(`${name} ${ejected}`));
  return {
    tracker,
    changes,
    /** One round of reports; the tokens a second are those of two running streams. */
    report: (rates: Readonly<Record<string, number>>) => {
      nowMs += 500;
      NAMES.forEach((backendServer) =>
        load.recordReport({
          backendServer,
          sequence: nowMs,
          running: 2,
          waiting: 0,
          slots: 4,
          tokensPerSecond: rates[backendServer] ?? 100,
          models: [],
          ageMs: 0,
          receivedAtMs: nowMs,
        } as unknown as LoadReport),
      );
      tracker.updateSpeeds();
    },
    pass: (ms: number) => {
      nowMs += ms;
      timers.filter(({ atMs }) => atMs <= nowMs).forEach(({ callback }) => callback());
    },
  };
};

test('a slow server gets less, then nothing, and comes back after a time', (t) => {
  const bench = createBench();
  bench.report({ a: 10 });
  const first = bench.tracker.readSpeedEstimate('a').speed;
  t.true(first < 1 && first > 0.5);
  t.is(bench.tracker.readSpeedEstimate('b').speed, 1);
  for (let round = 0; round < 12; round += 1) bench.report({ a: 10 });
  t.true(bench.tracker.isEjected('a'));
  t.deepEqual(bench.changes, ['a true']);
  bench.pass(5000);
  t.false(bench.tracker.isEjected('a'));
  t.deepEqual(bench.changes, ['a true', 'a false']);
});

test('when all fail, one of six is ejected and the others go on', (t) => {
  const bench = createBench();
  NAMES.forEach((name) => {
    for (let attempt = 0; attempt < 4; attempt += 1) bench.tracker.recordAttempt(name, true);
  });
  t.is(NAMES.filter(bench.tracker.isEjected).length, 1);
});
