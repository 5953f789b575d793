import test from 'ava';
import { createSendDating } from '.';

/** A reader in a process whose time passes idle, busy, or stopped. */
const createReader = () => {
  let nowMs = 0;
  let idleMs = 0;
  const dating = createSendDating({ readMonotonicMs: () => nowMs, readIdleMs: () => idleMs });
  return {
    ...dating,
    idle: (forMs: number) => {
      nowMs += forMs;
      idleMs += forMs;
    },
    stop: (forMs: number) => {
      nowMs += forMs;
    },
  };
};

test('what comes while the process waits was sent since the reader began to wait', (t) => {
  const { idle, readSentSinceMs, startWaiting } = createReader();
  idle(30);
  t.is(readSentSinceMs(), 0);
  startWaiting();
  idle(30);
  t.is(readSentSinceMs(), 30);
});

test('what is there at once may have been sent before the reader asked for it', (t) => {
  const { idle, readSentSinceMs, startWaiting, stop } = createReader();
  idle(30);
  readSentSinceMs();
  idle(3000);
  startWaiting();
  t.is(readSentSinceMs(), 0);
  startWaiting();
  stop(200);
  t.is(readSentSinceMs(), 0);
  startWaiting();
  idle(5);
  t.is(readSentSinceMs(), 3230);
});

test('a process that was stopped while it waited dates what it reads before the stop', (t) => {
  const { idle, readSentSinceMs, startWaiting, stop } = createReader();
  idle(1000);
  readSentSinceMs();
  startWaiting();
  idle(10);
  stop(2800);
  t.is(readSentSinceMs(), 1000);
  startWaiting();
  t.is(readSentSinceMs(), 1000);
});

test('a reader that waits for long dates more closely if it says so meanwhile', (t) => {
  const { idle, readSentSinceMs, refresh, startWaiting } = createReader();
  startWaiting();
  idle(400);
  refresh();
  idle(100);
  t.is(readSentSinceMs(), 400);
  idle(400);
  refresh();
  t.is(readSentSinceMs(), 400);
});
