import test from 'ava';
import { estimateFirstTokenMs } from '.';

const IDLE = {
  running: 0,
  slots: 4,
  holdMs: 4000,
  skipsQueue: false,
  promptTokens: 1000,
  cachedTokens: 0,
  prefillMsPerToken: 0.1,
  zoneRoundTripMs: 1,
  speed: 1,
};

test('the estimate grows with queue, batch and slowness, and falls with the cached prefix', (t) => {
  t.is(estimateFirstTokenMs(IDLE), 101);
  t.is(estimateFirstTokenMs({ ...IDLE, cachedTokens: 900 }), 11);
  t.is(estimateFirstTokenMs({ ...IDLE, running: 4 }), 1201);
  t.is(estimateFirstTokenMs({ ...IDLE, running: 7 }), 4201);
  t.is(estimateFirstTokenMs({ ...IDLE, running: 7, skipsQueue: true }), 1201);
  t.is(estimateFirstTokenMs({ ...IDLE, speed: 0.5 }), 201);
});

test('the estimate is finite for a stuck server and a fully cached prompt', (t) => {
  t.true(Number.isFinite(estimateFirstTokenMs({ ...IDLE, speed: 0, cachedTokens: 2000 })));
});
