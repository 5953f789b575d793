import test from 'ava';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import { createUnreadAttempts, UNREAD_TTL_MS } from '.';

const PATH = { server: 'i-1', relay: null };

const build = () => {
  const clock = createFakeClock();
  return { clock, unread: createUnreadAttempts({ clock, log: QUIET_LOG }) };
};

test('an attempt counts as read once a later one on the same path was answered', (t) => {
  const { unread } = build();
  let read = 0;
  unread.addAttempt(PATH, 100, () => {
    read += 1;
  });
  unread.recordAnswer(PATH, 90);
  unread.recordAnswer({ ...PATH, relay: 'vm-2' }, 200);
  unread.recordAnswer({ ...PATH, server: 'i-2' }, 200);
  t.is(read, 0);
  unread.recordAnswer(PATH, 200);
  unread.recordAnswer(PATH, 300);
  t.is(read, 1);
});

test('an attempt counts as read at once if a later one was answered before', (t) => {
  const { unread } = build();
  let read = 0;
  unread.recordAnswer(PATH, 200);
  unread.addAttempt(PATH, 100, () => {
    read += 1;
  });
  t.is(read, 1);
});

test('an attempt at a server that never answers again counts as unread for a while only', (t) => {
  const { clock, unread } = build();
  let read = 0;
  unread.addAttempt(PATH, 0, () => {
    read += 1;
  });
  clock.advance(UNREAD_TTL_MS - 1);
  t.is(read, 0);
  clock.advance(1);
  t.is(read, 1);
});
