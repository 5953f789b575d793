import test from 'ava';
import { request } from 'undici';
import { createStandInWeightStore } from '.';

test('fetches past the rate are refused with the time to wait', async (t) => {
  let nowMs = 0;
  const clock = {
    readWallMs: () => 0,
    readMonotonicMs: () => nowMs,
    readIdleMs: () => nowMs,
    startTimer: () => () => {},
  };
  const store = await createStandInWeightStore({ fetchesPerWindow: 1, windowMs: 2000, clock });
  t.teardown(store.stop);
  const fetchModel = () => request(`${store.url}/weights/review/1`);
  t.is((await fetchModel()).statusCode, 200);
  const refused = await fetchModel();
  t.is(refused.statusCode, 429);
  t.is(refused.headers['retry-after'], '2');
  nowMs = 2000;
  t.is((await fetchModel()).statusCode, 200);
  t.deepEqual(store.listFetches(), ['review/1', 'review/1']);
  t.is(store.countRefused(), 1);
});
