import test from 'ava';
import {
  buildRunOutcome,
  buildServerStatus,
  createFakeClock,
  QUIET_LOG,
} from '../../../../standins/fakes';
import { createCrashHistory } from '../createCrashHistory';
import type { AttemptEnd } from '../../../domain/crashes';
import type { CrashProbe } from '../createCrashProbe';
import { createRequestCrashTracker, type RequestCrashTracker } from '.';

const setUp = () => {
  const clock = createFakeClock();
  const crashes = createCrashHistory({
    clock,
    log: QUIET_LOG,
    hasAnsweredSince: () => false,
    publishOutcome: () => undefined,
    handleQuarantine: () => undefined,
  });
  const probed: string[] = [];
  const crashProbe: CrashProbe = {
    // Each server whose connection ended has crashed.
    startProbe: ({ id }, runs, { isSilent }) => {
      probed.push(`${id} ${runs.length} ${isSilent ? 'silent' : 'ended'}`);
      if (isSilent) return;
      const outcome = { server: id, hasCrashed: true, isConfirmed: true };
      runs.forEach((run) => crashes.recordOutcome({ ...run, ...outcome }));
    },
    startRecheck: () => undefined,
  };
  let requests = 0;
  /** Creates the tracker of a request like no other, with a prompt of these parts. */
  const trackPrompt = (...parts: readonly string[]) => {
    requests += 1;
    clock.advance(500);
    const requestId = `r-${requests}`;
    return createRequestCrashTracker(
      { crashes, crashProbe },
      {
        requestId,
        target: `/${requestId}`,
        body: Buffer.from(requestId),
        promptParts: parts.map((id) => ({ id, tokens: 1 })),
      },
      'w',
    );
  };
  /** The same with a last part that no other request has. */
  const track = (...parts: readonly string[]) => trackPrompt(...parts, `own-${requests + 1}`);
  const end = (tracker: RequestCrashTracker, id: string, change: Partial<AttemptEnd> = {}) => {
    const nowMs = clock.readMonotonicMs();
    return tracker.recordEnd(buildServerStatus(id, 'z1').entry, {
      connection: 'reset',
      relay: null,
      progress: 'head',
      beganAtMs: nowMs - 60,
      heardSinceMs: nowMs - 60,
      endedAtMs: nowMs,
      ...change,
    });
  };
  const crash = (parts: readonly string[], id: string, hasBegun = false): void => {
    end(track(...parts), id, { progress: hasBegun ? 'events' : 'head' });
  };
  /** Runs a request for longer than those that crash. */
  const begin = (parts: readonly string[], id: string, ranMs = 200): void => {
    const heardSinceMs = clock.readMonotonicMs();
    const progress = { beganAtMs: heardSinceMs - ranMs, heardSinceMs };
    track(...parts).recordProgress(buildServerStatus(id, 'z1').entry, progress);
  };
  const crashThree = (...parts: readonly string[]): void =>
    ['i-1', 'i-2', 'i-3'].forEach((id) => crash(parts, id));
  return { begin, clock, crash, crashThree, crashes, end, probed, track, trackPrompt };
};

test('a part that crashed three servers is held responsible in requests that are like no other', (t) => {
  const { begin, crashThree, track } = setUp();
  crashThree('a', 'bad');
  begin(['a', 'b'], 'i-4');
  const cause = track('a', 'bad').findCause();
  t.deepEqual(cause?.fingerprints, ['part-bad']);
  t.is(cause?.kind, 'part');
  t.is(track('a', 'b').findCause(), null);
});

// Guards against a bad part of a session, or the only one of a prompt, that is never judged.
test('the last part of prompts is held responsible like any other', (t) => {
  const { end, trackPrompt } = setUp();
  ['i-1', 'i-2', 'i-3'].forEach((id) => end(trackPrompt('session'), id));
  t.deepEqual(trackPrompt('session').findCause()?.fingerprints, ['part-session']);
  t.is(trackPrompt('another').findCause(), null);
});

test('a part is cleared by a server that began to answer, and needs more crashes from then on', (t) => {
  const { begin, crash, crashThree, track } = setUp();
  crashThree('a');
  t.not(track('a').findCause(), null);
  begin(['a'], 'i-4');
  t.is(track('a').findCause(), null);
  ['i-5', 'i-6', 'i-7', 'i-8'].forEach((id) => crash(['a'], id));
  t.is(track('a').findCause(), null);
  crash(['a'], 'i-9');
  t.not(track('a').findCause(), null);
});

// Guards against a part that crashes each server after the first event, and was cleared by that.
test('servers that crashed soon after they had begun to answer accuse the parts', (t) => {
  const { begin, crash, track } = setUp();
  ['i-1', 'i-2', 'i-3'].forEach((id) => {
    begin(['a'], id, 10);
    crash(['a'], id, true);
  });
  t.deepEqual(track('a').findCause()?.fingerprints, ['part-a']);
});

test('a run clears a part only once it has gone on for longer than those that crashed', (t) => {
  const { begin, crashThree, track } = setUp();
  crashThree('a');
  begin(['a'], 'i-4', 59);
  t.not(track('a').findCause(), null);
  begin(['a'], 'i-4', 61);
  t.is(track('a').findCause(), null);
});

test('an answer that is taken back by the crash of its run clears no part', (t) => {
  const { clock, crash, end, track } = setUp();
  crash(['a'], 'i-1');
  crash(['a'], 'i-2');
  const tracker = track('a');
  const nowMs = clock.readMonotonicMs();
  tracker.recordProgress(buildServerStatus('i-3', 'z1').entry, {
    beganAtMs: nowMs - 300,
    heardSinceMs: nowMs,
  });
  end(tracker, 'i-3', { progress: 'events', beganAtMs: nowMs - 310 });
  t.not(track('a').findCause(), null);
});

test('a run that goes on after events of another one clears no part', (t) => {
  const { crashThree, crashes, end, track } = setUp();
  crashThree('a');
  const tracker = track('a');
  const server = buildServerStatus('i-4', 'z1').entry;
  const whole = { connection: 'complete', progress: 'whole', relay: null } as const;
  const times = { beganAtMs: 9000, heardSinceMs: 9900, endedAtMs: 9900 };
  tracker.recordEnd(server, { ...whole, ...times }, { isFromStart: false });
  t.true(crashes.isSuspected('part-a'));
  end(tracker, 'i-5', { ...whole, ...times });
  t.false(crashes.isSuspected('part-a'));
});

test('servers that are lost at one moment count as one crash of a part', (t) => {
  const { crashes, track } = setUp();
  ['i-1', 'i-2', 'i-3', 'i-4'].forEach((server) =>
    crashes.recordOutcome(buildRunOutcome({ fingerprint: 'part-a', requestId: server, server })),
  );
  t.is(track('a').findCause(), null);
});

test('a trial is due after a pause, and never again after many crashes', (t) => {
  const { clock, crash, crashThree, track } = setUp();
  crashThree('a');
  t.true((track('a').findCause()?.remainingMs ?? 0) > 0);
  clock.advance(1000);
  t.is(track('a').findCause()?.remainingMs, 0);
  ['i-4', 'i-5', 'i-6', 'i-7'].forEach((id) => crash(['a'], id));
  clock.advance(1_000_000);
  t.true((track('a').findCause()?.remainingMs ?? 0) > 0);
});

// Guards against common parts that are refused because of one request that crashes servers.
test('a single request that crashes servers makes none of its parts responsible', (t) => {
  const { clock, end, track } = setUp();
  const tracker = track('a', 'b');
  ['i-1', 'i-2', 'i-3', 'i-4'].forEach((id) => {
    clock.advance(500);
    end(tracker, id);
  });
  t.is(tracker.findCause()?.kind, 'request');
  t.is(track('a', 'b').findCause(), null);
});

test('an end that may have other causes counts only after a probe, a connection that broke at once', (t) => {
  const { crashes, end, probed, track } = setUp();
  t.is(end(track('a'), 'i-1', { connection: 'silent' }), 'check');
  t.true(crashes.isEmpty());
  t.is(end(track('a'), 'i-2'), 'suspect');
  t.true(crashes.isSuspected('part-a'));
  t.deepEqual(probed, ['i-1 3 silent', 'i-2 3 ended']);
});

// Guards against a suspicion that is cleared by an answer which a crash may have cut off.
test('only a response that is complete by its framing clears a request', (t) => {
  const { clock, crashes, end, track } = setUp();
  const tracker = track();
  end(tracker, 'i-1');
  const heardSinceMs = clock.readMonotonicMs();
  const fingerprint = String(tracker.readLogFields().fingerprint);
  end(tracker, 'i-2', { connection: 'closed', progress: 'whole', heardSinceMs });
  t.true(crashes.isSuspected(fingerprint));
  end(tracker, 'i-2', { connection: 'complete', progress: 'whole', heardSinceMs });
  t.false(crashes.isSuspected(fingerprint));
});

// Guards against a crash that is cleared by an answer which a VM that was stopped read late.
test('a response that may have been sent before a crash does not clear it', (t) => {
  const { clock, crashes, end, track } = setUp();
  const tracker = track();
  end(tracker, 'i-1');
  const heardSinceMs = clock.readMonotonicMs() - 1;
  end(tracker, 'i-2', { connection: 'complete', progress: 'whole', heardSinceMs });
  t.true(crashes.isSuspected(String(tracker.readLogFields().fingerprint)));
});
