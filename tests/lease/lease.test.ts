import test from 'ava';
import fc from 'fast-check';
import { createLeasePair } from './_lib/createLeasePair';
import type { LeasePair } from './_lib/createLeasePair';

const TIMES = { durationMs: 10_000, orderMarginMs: 2_500, takeoverMarginMs: 2_500 };

const readOrderPermissions = ({ holders }: LeasePair) =>
  holders.map(({ readOrderToken }) => readOrderToken() !== null);

const startLeasePair = async (): Promise<LeasePair> => {
  const pair = createLeasePair();
  pair.holders[0].holder.start();
  await pair.advance(500);
  pair.holders[1].holder.start();
  await pair.advance(20_000);
  return pair;
};

test('one of two keepers holds the lease and renews it', async (t) => {
  const pair = await startLeasePair();
  t.deepEqual(readOrderPermissions(pair), [true, false]);
  await pair.advance(60_000);
  t.deepEqual(readOrderPermissions(pair), [true, false]);
  t.deepEqual(pair.listViolations(), []);
});

test('a holder that was paused past its lease sends no order after it resumes', async (t) => {
  // Guards against orders of an old holder after those of the new one: a holder that was paused
  // past its lease assumes that it still has it until it reads the row again.
  const pair = await startLeasePair();
  const [first] = pair.holders;
  first.pause();
  await pair.advance(30_000);
  t.deepEqual(readOrderPermissions(pair), [false, true]);
  first.resume();
  t.deepEqual(readOrderPermissions(pair), [false, true]);
  await pair.advance(20_000);
  t.deepEqual(readOrderPermissions(pair), [false, true]);
  t.deepEqual(pair.listViolations(), []);
});

test('jumps of the wall clock do not affect the lease', async (t) => {
  const pair = await startLeasePair();
  pair.clock.jumpWall(0);
  await pair.advance(5_000);
  pair.clock.jumpWall(4_000_000_000_000);
  await pair.advance(5_000);
  t.deepEqual(readOrderPermissions(pair), [true, false]);
});

test('after a lost response to the first write or a renewal, the row is read back', async (t) => {
  const pair = createLeasePair();
  pair.table.loseNextAnswers(1);
  pair.holders[0].holder.start();
  await pair.advance(500);
  t.deepEqual(readOrderPermissions(pair), [true, false]);
  pair.table.loseNextAnswers(1);
  await pair.advance(9_000);
  t.deepEqual(readOrderPermissions(pair), [true, false]);
});

test('an outage stops the orders before the lease expires; the lease is acquired again later', async (t) => {
  const pair = await startLeasePair();
  pair.table.setOutage('unavailable');
  await pair.advance(12_000);
  t.deepEqual(readOrderPermissions(pair), [false, false]);
  pair.table.setOutage('none');
  await pair.advance(30_000);
  t.is(readOrderPermissions(pair).filter(Boolean).length, 1);
  t.deepEqual(pair.listViolations(), []);
});

test('a released lease is acquired at once; the holder passes a higher token that it observes', async (t) => {
  const pair = await startLeasePair();
  const [first, second] = pair.holders;
  await first.holder.stop();
  t.is(first.holder.readOrderToken(), null);
  await pair.advance(5_500);
  t.deepEqual(readOrderPermissions(pair), [false, true]);
  second.holder.recordObservedToken(1_000);
  t.is(second.holder.readOrderToken(), null);
  await pair.advance(5_500);
  t.true((second.holder.readOrderToken() ?? 0) > 1_000);
});

const ACTIONS = {
  wait: (pair: LeasePair) => pair.advance(3_000),
  waitLong: (pair: LeasePair) => pair.advance(14_000),
  pauseFirst: async (pair: LeasePair) => pair.holders[0].pause(),
  resumeFirst: async (pair: LeasePair) => pair.holders[0].resume(),
  pauseSecond: async (pair: LeasePair) => pair.holders[1].pause(),
  resumeSecond: async (pair: LeasePair) => pair.holders[1].resume(),
  outage: async (pair: LeasePair) => pair.table.setOutage('unavailable'),
  recover: async (pair: LeasePair) => pair.table.setOutage('none'),
  loseAnswer: async (pair: LeasePair) => pair.table.loseNextAnswers(1),
  dropWrite: async (pair: LeasePair) => pair.table.dropNextWrites(1),
} as const;

type Action = keyof typeof ACTIONS;

/** Searches schedules of pauses and faults for one that violates the order rules. */
const findsViolation = async (times: typeof TIMES): Promise<boolean> => {
  const schedule = fc.array(fc.constantFrom(...(Object.keys(ACTIONS) as Action[])), {
    minLength: 4,
    maxLength: 16,
  });
  const details = await fc.check(
    fc.asyncProperty(schedule, async (actions) => {
      const pair = createLeasePair(times);
      pair.holders.forEach(({ holder }) => holder.start());
      for (const action of actions) await ACTIONS[action](pair);
      return pair.listViolations().length === 0;
    }),
    { seed: 5, numRuns: 200, endOnFailure: true },
  );
  return details.failed;
};

test('under no schedule of pauses, outages and lost responses do two holders send orders at once', async (t) => {
  t.false(await findsViolation(TIMES));
});

test('the search detects a holder that does not check its lease', async (t) => {
  t.true(await findsViolation({ ...TIMES, orderMarginMs: -1_000_000 }));
});

test('the search detects a new holder that does not wait for the old lease to expire', async (t) => {
  t.true(await findsViolation({ ...TIMES, takeoverMarginMs: -9_000 }));
});
