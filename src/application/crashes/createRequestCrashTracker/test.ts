import test from 'ava';
import { createTrackerFixture } from '../../../../standins/crashes';
import { buildRunOutcome, buildServerStatus } from '../../../../standins/fakes';

test('a part that crashed three servers is held responsible in requests that are like no other', (t) => {
  const { begin, crashThree, track } = createTrackerFixture();
  crashThree('a', 'bad');
  begin(['a', 'b'], 'i-4');
  const cause = track('a', 'bad').findCause();
  t.deepEqual(cause?.fingerprints, ['part-bad']);
  t.is(cause?.kind, 'part');
  t.is(track('a', 'b').findCause(), null);
});

// Guards against a bad part of a session, or the only one of a prompt, that is never judged.
test('the last part of prompts is held responsible like any other', (t) => {
  const { end, trackPrompt } = createTrackerFixture();
  ['i-1', 'i-2', 'i-3'].forEach((id) => end(trackPrompt('session'), id));
  t.deepEqual(trackPrompt('session').findCause()?.fingerprints, ['part-session']);
  t.is(trackPrompt('another').findCause(), null);
});

test('a part is cleared by a server that began to answer, and needs more crashes from then on', (t) => {
  const { begin, crash, crashThree, track } = createTrackerFixture();
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
  const { begin, crash, track } = createTrackerFixture();
  ['i-1', 'i-2', 'i-3'].forEach((id) => {
    begin(['a'], id, 10);
    crash(['a'], id, true);
  });
  t.deepEqual(track('a').findCause()?.fingerprints, ['part-a']);
});

test('a run clears a part only once it has gone on for longer than those that crashed', (t) => {
  const { begin, crashThree, track } = createTrackerFixture();
  crashThree('a');
  begin(['a'], 'i-4', 59);
  t.not(track('a').findCause(), null);
  begin(['a'], 'i-4', 61);
  t.is(track('a').findCause(), null);
});

test('an answer that is taken back by the crash of its run clears no part', (t) => {
  const { clock, crash, end, track } = createTrackerFixture();
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

const WHOLE = { connection: 'complete', progress: 'whole' } as const;

test('a run that goes on after events of another one clears no part', (t) => {
  const { crashThree, end, track } = createTrackerFixture();
  crashThree('a');
  end(track('a'), 'i-4', { ...WHOLE, heardSinceMs: 9000 }, { isFromStart: false });
  t.not(track('a').findCause(), null);
  end(track('a'), 'i-5', { ...WHOLE, heardSinceMs: 9000 });
  t.is(track('a').findCause(), null);
});

test('servers that are lost at one moment count as one crash of a part', (t) => {
  const { crashes, track } = createTrackerFixture();
  ['i-1', 'i-2', 'i-3', 'i-4'].forEach((server) =>
    crashes.recordOutcome(buildRunOutcome({ fingerprint: 'part-a', requestId: server, server })),
  );
  t.is(track('a').findCause(), null);
});

test('a trial is due after a pause, and never again after many crashes', (t) => {
  const { clock, crash, crashThree, track } = createTrackerFixture();
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
  const { clock, end, track } = createTrackerFixture();
  const tracker = track('a', 'b');
  ['i-1', 'i-2', 'i-3', 'i-4'].forEach((id) => {
    clock.advance(500);
    end(tracker, id);
  });
  t.is(tracker.findCause()?.kind, 'request');
  t.is(track('a', 'b').findCause(), null);
});

test('an end that may have other causes counts only after a probe, a connection that broke at once', (t) => {
  const { crashes, end, probed, track } = createTrackerFixture();
  t.is(end(track('a'), 'i-1', { connection: 'silent' }), 'check');
  t.true(crashes.isEmpty());
  t.is(end(track('a'), 'i-2'), 'suspect');
  t.true(crashes.isSuspected('part-a'));
  t.deepEqual(probed, ['i-1 3 silent', 'i-2 3 ended']);
});

// Guards against sound parts that are refused as servers which crash by themselves cut off long runs.
test('a run that had gone on for long accuses its parts only in comparison with other runs', (t) => {
  const { clock, crashes, end, probed, track } = createTrackerFixture();
  const late = { progress: 'events', beganAtMs: clock.readMonotonicMs() - 4000 } as const;
  t.is(end(track('a'), 'i-1', late), 'late');
  t.is(end(track('a'), 'i-1', { ...late, connection: 'silent' }), 'late');
  t.deepEqual(probed, ['i-1 1 ended', 'i-1 1 silent']);
  ['i-2', 'i-3', 'i-4'].forEach((server) => {
    clock.advance(400);
    const atMs = clock.readMonotonicMs();
    const change = { server, fingerprint: server, atMs, ranMs: 4000, parts: ['part-a'] };
    crashes.recordOutcome(buildRunOutcome({ ...change, isLate: true }));
  });
  t.false(crashes.isSuspected('part-a'));
  t.is(track('a').findCause(), null);
  const recordRuns = (part: string, count: number): void =>
    Array.from({ length: count }, () => ({ parts: [part], runMs: 4000, isWhole: true })).forEach(
      crashes.recordRun,
    );
  recordRuns('part-b', 60);
  ['i-5', 'i-6'].forEach((server) => {
    clock.advance(400);
    const atMs = clock.readMonotonicMs();
    const change = { server, fingerprint: server, atMs, ranMs: 4000, parts: ['part-a'] };
    crashes.recordOutcome(buildRunOutcome({ ...change, isLate: true }));
  });
  clock.advance(300);
  t.deepEqual(track('a').findCause()?.fingerprints, ['part-a']);
});

// Guards against a suspicion that is cleared by an answer which a crash may have cut off.
test('only a response that is complete by its framing clears a request', (t) => {
  const { clock, crashes, end, track } = createTrackerFixture();
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
  const { clock, crashes, end, track } = createTrackerFixture();
  const tracker = track();
  end(tracker, 'i-1');
  const heardSinceMs = clock.readMonotonicMs() - 1;
  end(tracker, 'i-2', { connection: 'complete', progress: 'whole', heardSinceMs });
  t.true(crashes.isSuspected(String(tracker.readLogFields().fingerprint)));
});

// Guards against a look at all suspected parts with each event of each stream.
test('a run that goes on is looked at less often the longer it has run', (t) => {
  const { clock, crash, crashes, track } = createTrackerFixture();
  crash(['a'], 'i-1');
  const tracker = track('a');
  const beganAtMs = clock.readMonotonicMs();
  const { entry } = buildServerStatus('i-2', 'z1');
  const told = (): readonly number[] =>
    crashes.listOutcomes().flatMap(({ hasCrashed, ranMs }) => (hasCrashed ? [] : [ranMs]));
  const record = (ranMs: number): void => {
    clock.advance(beganAtMs + ranMs - clock.readMonotonicMs());
    tracker.recordProgress(entry, { beganAtMs, heardSinceMs: beganAtMs + ranMs });
  };
  record(55);
  t.deepEqual(told(), []);
  record(65);
  t.deepEqual(told(), []);
  record(70);
  t.deepEqual(told(), [70]);
});
