import { performance } from 'node:perf_hooks';
import type { Clock } from '../../../src/application/ports';
import { createFakeClock } from '../createFakeClock';

const TICK_MS = 5;

/** Longer pauses between ticks are pauses of this process. */
const MAX_STEP_MS = 10;

/**
 * Creates a clock that runs in real time, but stands still while this process does.
 *
 * A test holds gateways, servers and callers in one process. On a busy machine all of them pause at
 * once, so that a timeout would pass although nobody was slow.
 */
export const createSteadyClock = (): Clock => {
  const clock = createFakeClock(Date.now());
  let lastTickAtMs = performance.now();
  setInterval(() => {
    const nowMs = performance.now();
    clock.advance(Math.min(MAX_STEP_MS, nowMs - lastTickAtMs));
    lastTickAtMs = nowMs;
  }, TICK_MS).unref();
  return clock;
};
