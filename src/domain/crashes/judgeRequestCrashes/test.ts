import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { judgeRequestCrashes } from '.';

/** Builds a crash of the server with this number; crashes of one moment have one cause. */
const buildCrash = (server: number, atMs: number, isConfirmed = true) =>
  buildRunOutcome({ requestId: `r-${server}`, server: `i-${server}`, atMs, isConfirmed });

test('three servers that crashed, each for itself, put a request into quarantine', (t) => {
  const crashes = [1, 2, 3].map((server) => buildCrash(server, server * 1000));
  t.is(judgeRequestCrashes(crashes.slice(0, 2), 3000), null);
  t.like(judgeRequestCrashes(crashes, 3000), {
    isCertain: true,
    crashes: 3,
    trialPauseMs: Infinity,
  });
  t.is(judgeRequestCrashes(crashes, 603_001), null);
});

test('three servers that were lost at one moment hold a request back until a trial', (t) => {
  const crashes = [1, 2, 3].map((server) => buildCrash(server, 1000));
  t.like(judgeRequestCrashes(crashes, 1500), { isCertain: false, remainingMs: 500 });
  t.like(judgeRequestCrashes(crashes, 2000), { isCertain: false, remainingMs: 0 });
  t.is(judgeRequestCrashes(crashes, 31_001), null);
});

test('each trial that loses a server makes the next pause longer', (t) => {
  const crashes = [1, 2, 3].map((server) => buildCrash(server, 1000));
  const next = [...crashes, buildCrash(4, 2100)];
  t.is(judgeRequestCrashes(next, 2100)?.remainingMs, 4000);
  t.like(judgeRequestCrashes([...next, buildCrash(5, 6200)], 6200), { isCertain: true });
});

// Guards against trials that are granted while one still waits at its server: four were sent within
// four seconds, and crashed three servers.
test('the next trial is due only after a stream of the one before has begun to run', (t) => {
  const crashes = [1, 2, 3].map((server) => buildCrash(server, 1000));
  t.true((judgeRequestCrashes(crashes, 2000)?.trialPauseMs ?? 0) >= 10_000);
});

// Guards against a request that goes on to crash servers while nobody can tell whether they crashed.
test('servers that may only have lost their connections hold a request back, but never for long', (t) => {
  const crashes = [1, 2, 3].map((server) => buildCrash(server, server * 1000, false));
  t.like(judgeRequestCrashes(crashes, 3000), { isCertain: false, remainingMs: 1000 });
  t.like(judgeRequestCrashes(crashes, 4000), { remainingMs: 0 });
});
