import test from 'ava';
import { createTrackerFixture } from '../../../../../standins/crashes';

const WHOLE = { connection: 'complete', progress: 'whole' } as const;

/** Crashes a server in every other run of a part, beside many runs without it. */
const crashEveryOtherRun = (
  { begin, crash, end, track }: ReturnType<typeof createTrackerFixture>,
  handleRun: (run: number) => void = () => undefined,
): void => {
  crash(['a'], 'i-0');
  for (let run = 0; run < 60; run += 1) end(track('b'), 'i-9', WHOLE);
  for (let run = 1; run <= 5; run += 1) {
    crash(['a'], `i-${run}`);
    begin(['a'], 'i-9');
    handleRun(run);
  }
};

// Guards against a part that is cleared by each of its runs that does not crash a server.
test('a part that crashes servers in every other run is held responsible if other runs crash none', (t) => {
  const fixture = createTrackerFixture();
  const { begin, track } = fixture;
  crashEveryOtherRun(fixture);
  t.deepEqual(track('a').findCause()?.fingerprints, ['part-a']);
  begin(['a'], 'i-9');
  t.not(track('a').findCause(), null, 'one answer ends no quarantine');
  t.is(track('b').findCause(), null);
});

test('a part is not held responsible if as many servers crash without it', (t) => {
  const fixture = createTrackerFixture();
  const { crash, track } = fixture;
  crashEveryOtherRun(fixture, (run) => {
    for (let other = 0; other < 8; other += 1) crash([], `other-${run}-${other}`);
  });
  t.is(track('a').findCause(), null);
});

test('one answer is told after each crash, and all complete runs are weighed', (t) => {
  const { begin, crash, crashes, end, track } = createTrackerFixture();
  crash(['a'], 'i-0');
  t.true(crashes.isSuspected('part-a'));
  begin(['a'], 'i-9');
  t.false(crashes.isSuspected('part-a'));
  for (let run = 1; run <= 6; run += 1) {
    for (let other = 0; other < 20; other += 1) end(track('b'), 'i-9', WHOLE);
    for (let own = 0; own < 20; own += 1) end(track('a'), 'i-9', WHOLE);
    crash(['a'], `i-${run}`);
  }
  t.is(track('a').findCause(), null, 'crashed one of twenty runs');
});

// Guards against a verdict that is forgotten when servers crash for another reason.
test('a part that is held responsible stays so although a few servers crash without it', (t) => {
  const fixture = createTrackerFixture();
  const { crash, end, track } = fixture;
  crashEveryOtherRun(fixture);
  for (let other = 0; other < 4; other += 1) crash(['b'], `other-${other}`);
  t.not(track('a').findCause(), null);
  for (let run = 0; run < 200; run += 1) end(track('a'), 'i-9', WHOLE);
  t.is(track('a').findCause(), null, 'answered in nearly all runs since');
});

// Guards against a verdict that ends while the part is refused, so that nothing is learnt of it.
test('a part that is held responsible stays so whatever servers crash while it has no runs', (t) => {
  const fixture = createTrackerFixture();
  const { clock, crash, track } = fixture;
  crashEveryOtherRun(fixture);
  t.not(track('a').findCause(), null);
  for (let other = 0; other < 60; other += 1) {
    clock.advance(1000);
    crash([], `other-${other}`);
  }
  t.not(track('a').findCause(), null);
});

// Guards against a verdict of one VM while others send the part on.
test('a VM that knows of no other runs holds a part responsible once another VM does', (t) => {
  const other = createTrackerFixture();
  const fixture = createTrackerFixture((outcome) => {
    other.clock.advance(fixture.clock.readMonotonicMs() - other.clock.readMonotonicMs());
    other.crashes.mergeOutcome(outcome);
  });
  crashEveryOtherRun(fixture);
  t.not(fixture.track('a').findCause(), null);
  t.deepEqual(other.track('a').findCause()?.fingerprints, ['part-a']);
  t.is(other.track('b').findCause(), null);
});

test('a VM that starts later learns of the verdict with the outcomes', (t) => {
  const fixture = createTrackerFixture();
  crashEveryOtherRun(fixture);
  t.not(fixture.track('a').findCause(), null);
  const later = createTrackerFixture();
  fixture.crashes.listOutcomes().forEach(later.crashes.mergeOutcome);
  t.not(later.track('a').findCause(), null);
});

// Guards against a request that is refused twice: by its own question, and as a listener of the verdict.
test('no listener is called while a request asks, if the runs of others lead to a verdict', (t) => {
  const { begin, clock, crash, crashes, end, track } = createTrackerFixture();
  for (let run = 0; run <= 5; run += 1) {
    crash(['a'], `i-${run}`);
    begin(['a'], 'i-9');
  }
  t.is(track('a').findCause(), null);
  for (let run = 0; run < 60; run += 1) end(track('b'), 'i-9', WHOLE);
  const tracker = track('a');
  let heard = 0;
  crashes.addListener(() => {
    heard += 1;
  });
  t.not(tracker.findCause(), null);
  t.is(heard, 0);
  clock.advance(1);
  t.is(heard, 1);
});
