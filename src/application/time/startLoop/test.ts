import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import { startLoop } from '.';

/** Starts a loop whose steps return, or throw, the given values. */
const setUp = (steps: readonly (number | null | Error)[]) => {
  const clock = createFakeClock();
  const ranAtMs: number[] = [];
  const reasons: string[] = [];
  const stop = startLoop({
    clock,
    firstDelayMs: 10,
    runStep: async () => {
      const step = steps[ranAtMs.length] ?? null;
      ranAtMs.push(clock.readMonotonicMs());
      if (step instanceof Error) throw step;
      return step;
    },
    handleFailure: (reason) => {
      reasons.push(reason);
      return 100;
    },
  });
  return { clock, ranAtMs, reasons, stop };
};

test('each step sets the delay until the next one, and null ends the loop', async (t) => {
  const { clock, ranAtMs } = setUp([20, 30, null]);
  await clock.advanceAsync(1000);
  t.deepEqual(ranAtMs, [10, 30, 60]);
  t.is(clock.countTimers(), 0);
});

test("a failed step is reported, and the loop goes on after the handler's delay", async (t) => {
  const { clock, ranAtMs, reasons } = setUp([new Error('broken'), null]);
  await clock.advanceAsync(1000);
  t.deepEqual(ranAtMs, [10, 110]);
  t.deepEqual(reasons, ['broken']);
});

test('no step runs after the loop was stopped', async (t) => {
  const { clock, ranAtMs, stop } = setUp([20, 30]);
  await clock.advanceAsync(15);
  stop();
  await clock.advanceAsync(1000);
  t.deepEqual(ranAtMs, [10]);
});
