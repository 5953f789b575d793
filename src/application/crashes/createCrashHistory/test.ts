import test from 'ava';
import { buildRunOutcome, createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import type { SharedOutcome } from '../../../domain/crashes';
import { createCrashHistory } from '.';

const setUp = () => {
  const clock = createFakeClock();
  const alive = new Set<string>();
  const published: SharedOutcome[] = [];
  const quarantined: string[] = [];
  const history = createCrashHistory({
    clock,
    log: QUIET_LOG,
    hasAnsweredSince: (server) => alive.has(server),
    publishOutcome: (outcome) => published.push(outcome),
    handleQuarantine: (fingerprint) => quarantined.push(fingerprint),
  });
  const crash = (server: string, requestId = 'r-1', fingerprint = 'f'): void =>
    history.recordOutcome(
      buildRunOutcome({ fingerprint, requestId, server, atMs: clock.readMonotonicMs() }),
    );
  const answer = (server: string): void =>
    history.recordOutcome(
      buildRunOutcome({
        requestId: 'r-9',
        server,
        hasCrashed: false,
        atMs: clock.readMonotonicMs(),
      }),
    );
  const crashThree = (): void => ['i-1', 'i-2', 'i-3'].forEach((server) => crash(server));
  return { alive, answer, clock, crash, crashThree, history, quarantined, told: published };
};

test('the third server that crashes under a request puts it into quarantine', (t) => {
  const { crash, history, quarantined, told } = setUp();
  crash('i-1');
  crash('i-2');
  t.is(history.readQuarantineMs('f'), 0);
  crash('i-3');
  t.true(history.readQuarantineMs('f') > 0);
  t.deepEqual(quarantined, ['f']);
  t.is(told.length, 3);
  t.is(history.readQuarantineMs('another'), 0);
});

// Guards against a quarantine that no VM stores: each of three VMs observed one crash and was told
// of the last one, so that none wrote it, and the request was sent on after a power loss.
test('each VM that observed a crash stores a quarantine, also if it is told of the last crash', (t) => {
  const { crash, history, quarantined } = setUp();
  const tell = (server: string): void => {
    const { atMs, ...told } = buildRunOutcome({ server });
    history.mergeOutcome({ ...told, ageMs: atMs });
  };
  crash('i-1');
  ['i-2', 'i-3'].forEach(tell);
  t.deepEqual(quarantined, ['f']);
  const others = setUp();
  ['i-1', 'i-2', 'i-3'].forEach((server) => {
    const { atMs, ...told } = buildRunOutcome({ server });
    others.history.mergeOutcome({ ...told, ageMs: atMs });
  });
  t.true(others.history.readQuarantineMs('f') > 0);
  t.deepEqual(others.quarantined, []);
});

test('a quarantine is stored again after each further crash that the VM observed', (t) => {
  const { clock, crash, crashThree, quarantined } = setUp();
  crashThree();
  clock.advance(1000);
  crash('i-4');
  t.deepEqual(quarantined, ['f', 'f']);
});

test('an outcome that is merged twice counts once', (t) => {
  const { history } = setUp();
  const { atMs, ...crash } = buildRunOutcome();
  const outcome = { ...crash, ageMs: atMs + 5 };
  t.true(history.mergeOutcome(outcome));
  t.false(history.mergeOutcome({ ...outcome, ageMs: 900 }));
  t.is(history.listOutcomes().length, 1);
});

test('a request leaves quarantine once a server has answered it', (t) => {
  const { answer, clock, crash, crashThree, history } = setUp();
  crashThree();
  clock.advance(10);
  answer('i-4');
  t.is(history.readQuarantineMs('f'), 0);
  t.false(history.isSuspected('f'));
  clock.advance(10);
  crash('i-5');
  t.true(history.isSuspected('f'));
  t.is(history.readQuarantineMs('f'), 0);
});

test('connections reset by servers that stay alive do not count', (t) => {
  const { alive, crashThree, history } = setUp();
  crashThree();
  alive.add('i-2');
  t.is(history.readQuarantineMs('f'), 0);
});

test('the loss of a rack that runs many identical requests quarantines none of them', (t) => {
  const { crash, history } = setUp();
  ['1', '2', '3', '4'].forEach((one) => crash(`i-${one}`, `r-${one}`));
  t.is(history.readQuarantineMs('f'), 0);
});

test('a request is tried again after ten minutes, and one more crash quarantines it again', (t) => {
  const { clock, crash, crashThree, history } = setUp();
  crashThree();
  clock.advance(600_001);
  t.is(history.readQuarantineMs('f'), 0);
  crash('i-4');
  t.true(history.readQuarantineMs('f') > 0);
});

test('a listener is called after each new outcome, unless it was removed', (t) => {
  const { crash, crashThree, history } = setUp();
  let heard = 0;
  const cancel = history.addListener(() => {
    heard += 10;
  });
  history.addListener(() => {
    heard += 1;
  });
  cancel();
  crashThree();
  t.is(heard, 3);
  crash('i-3');
  t.is(heard, 3);
});

test('the number of remembered requests is bounded', (t) => {
  const { clock, crash, history } = setUp();
  for (let index = 0; index < 1200; index += 1) {
    clock.advance(1);
    crash('i-1', 'r-1', `f-${index}`);
  }
  t.false(history.isSuspected('f-0'));
  t.true(history.isSuspected('f-1199'));
  t.is(history.listOutcomes().length, 40);
});

// Guards against a quarantine that ends as servers go on to crash: only the newest outcomes were
// kept, most of them from one moment.
test('servers that go on to crash by the dozen end no quarantine', (t) => {
  const { clock, crash, history } = setUp();
  const counts = Array.from({ length: 30 }, (_, index) => {
    clock.advance(30);
    crash(`i-${index}`, `r-${index}`, 'part-a');
    return history.countResponsibleParts();
  });
  t.is(counts.at(-1), 1);
  t.deepEqual(counts, [...counts].sort());
});

const setUpUnconfirmed = () => {
  const fixture = setUp();
  const { clock, history } = fixture;
  const lose = (server: string, isConfirmed = false): void =>
    history.recordOutcome(buildRunOutcome({ server, isConfirmed, atMs: clock.readMonotonicMs() }));
  const findCause = () => history.findCause({ request: 'f', parts: [] });
  return { ...fixture, findCause, lose };
};

test('servers that were lost in any way hold a request back until they prove to be alive', (t) => {
  const { alive, findCause, history, lose } = setUpUnconfirmed();
  ['i-1', 'i-2', 'i-3'].forEach((server) => lose(server));
  t.like(findCause(), { isCertain: false, crashes: 3, remainingMs: 1000 });
  t.is(findCause()?.unconfirmed.length, 3);
  t.is(history.readQuarantineMs('f'), 0);
  alive.add('i-2');
  t.is(findCause(), null);
});

test('losses that are confirmed make a hold a quarantine, and others are forgotten', (t) => {
  const { clock, findCause, lose, quarantined } = setUpUnconfirmed();
  ['i-1', 'i-2', 'i-3'].forEach((server) => lose(server));
  clock.advance(400);
  ['i-1', 'i-2', 'i-3'].forEach((server) => lose(server, true));
  t.true(findCause()?.isCertain);
  t.deepEqual(quarantined, ['f']);
  const others = setUpUnconfirmed();
  ['i-1', 'i-2', 'i-3'].forEach((server) => others.lose(server));
  others.clock.advance(10_000);
  t.is(others.findCause(), null);
  t.true(others.history.isEmpty());
});
