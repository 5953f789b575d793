import test from 'ava';
import { createCountedRetries } from '../../../../../standins/fakes';
import { createRepeatReservation } from '.';

/** A reservation of a call that may still be asked for a retry, of two that are left. */
const setUp = () => {
  const { acquireRetry, countLeft } = createCountedRetries({ count: 2 });
  const ended = new AbortController();
  const reservation = createRepeatReservation({ acquireRetry }, 's', ended.signal);
  return { ended, reservation, countLeft };
};

test('a retry is reserved once, and used once', async (t) => {
  const { countLeft, reservation } = setUp();
  t.true(await reservation.reserveRetry());
  t.true(await reservation.reserveRetry());
  t.is(countLeft(), 1);
  const first = await reservation.acquireRetry();
  t.is(countLeft(), 1);
  t.not(await reservation.acquireRetry(), first);
  t.is(countLeft(), 0);
});

// Guards against retries that no call can use any more, as the one that reserved them has ended.
test('a retry is given back at the end of its call', async (t) => {
  const { countLeft, ended, reservation } = setUp();
  await reservation.reserveRetry();
  ended.abort();
  t.is(countLeft(), 2);
});

// Guards against retries that no call can use any more, as the one that reserved them has ended.
test('a retry that is acquired after the end of its call is given back', async (t) => {
  const { countLeft, ended, reservation } = setUp();
  const reserved = reservation.reserveRetry();
  ended.abort();
  await reserved;
  t.is(countLeft(), 2);
});

test('a retry that was taken is not given back at the end of its call', async (t) => {
  const { countLeft, ended, reservation } = setUp();
  await reservation.reserveRetry();
  await reservation.acquireRetry();
  ended.abort();
  t.is(countLeft(), 1);
});

// Guards against retries that are lost: an attempt breaks off while its time-out reserves the next one.
test('retries that are reserved and taken at once are all given back', async (t) => {
  const { countLeft, ended, reservation } = setUp();
  const reserved = reservation.reserveRetry();
  const taken = await reservation.acquireRetry();
  await reserved;
  taken?.release();
  ended.abort();
  t.is(countLeft(), 2);
});

// Guards against retries that are lost: the time-outs of two attempts reserve one at once.
test('retries that are reserved twice at once are all given back', async (t) => {
  const { countLeft, ended, reservation } = setUp();
  await Promise.all([reservation.reserveRetry(), reservation.reserveRetry()]);
  ended.abort();
  t.is(countLeft(), 2);
});
