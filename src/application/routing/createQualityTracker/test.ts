import test from 'ava';
import type { LoadReport } from '../../../domain/types';
import { buildConfiguration, buildServer } from '../_lib/createRouterFixture';
import { createLoadView } from '../createLoadView';
import { createQualityTracker } from '.';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

const createFixture = () => {
  let nowMs = 0;
  const timers: { readonly atMs: number; readonly callback: () => void }[] = [];
  const clock = {
    readWallMs: () => nowMs,
    readMonotonicMs: () => nowMs,
    readIdleMs: () => nowMs,
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
    /** Records a report of each server; the rate is the sum over two running streams. */
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
    advance: (ms: number) => {
      nowMs += ms;
      timers.filter(({ atMs }) => atMs <= nowMs).forEach(({ callback }) => callback());
    },
  };
};

test('a slow server gets a lower speed, is ejected, and returns after a time', (t) => {
  const fixture = createFixture();
  fixture.report({ a: 10 });
  const first = fixture.tracker.readSpeedEstimate('a').speed;
  t.true(first < 1 && first > 0.5);
  t.is(fixture.tracker.readSpeedEstimate('b').speed, 1);
  for (let round = 0; round < 12; round += 1) fixture.report({ a: 10 });
  t.true(fixture.tracker.isEjected('a'));
  t.deepEqual(fixture.changes, ['a true']);
  fixture.advance(5000);
  t.false(fixture.tracker.isEjected('a'));
  t.deepEqual(fixture.changes, ['a true', 'a false']);
});

test('when all servers fail, only one of six is ejected', (t) => {
  const fixture = createFixture();
  NAMES.forEach((name) => {
    for (let attempt = 0; attempt < 4; attempt += 1) fixture.tracker.recordAttempt(name, true);
  });
  t.is(NAMES.filter(fixture.tracker.isEjected).length, 1);
});
