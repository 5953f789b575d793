import test from 'ava';
import fc from 'fast-check';
import { createLeasePair } from './_lib/createLeasePair';
import type { LeasePair } from './_lib/createLeasePair';

const TIMES = { durationMs: 10_000, orderMarginMs: 2_500, takeoverMarginMs: 2_500 };

const readTokens = ({ holders }: LeasePair) =>
  holders.map(({ readOrderToken }) => readOrderToken() !== null);

const startPair = async (): Promise<LeasePair> => {
  const pair = createLeasePair();
  pair.holders[0].holder.start();
  await pair.advance(500);
  pair.holders[1].holder.start();
  await pair.advance(20_000);
  return pair;
};

test('one of two keepers holds the lease and renews it', async (t) => {
  const pair = await startPair();
  t.deepEqual(readTokens(pair), [true, false]);
  await pair.advance(60_000);
  t.deepEqual(readTokens(pair), [true, false]);
  t.deepEqual(pair.listViolations(), []);
});

test('a holder that was paused past its lease sends no order when it is back', async (t) => {
  // Symptom: engines get the old holder's orders after the new one's.
  // Events: the holder is paused for longer than the lease, another takes it, the first goes on.
  // Cause: it still believes that it holds the lease until it has read the row again.
  const pair = await startPair();
  const [first] = pair.holders;
  first.pause();
  await pair.advance(30_000);
  t.deepEqual(readTokens(pair), [false, true]);
  first.resume();
  t.deepEqual(readTokens(pair), [false, true]);
  await pair.advance(20_000);
  t.deepEqual(readTokens(pair), [false, true]);
  t.deepEqual(pair.listViolations(), []);
});

test('the wall clock does not matter', async (t) => {
  const pair = await startPair();
  pair.clock.jumpWall(0);
  await pair.advance(5_000);
  pair.clock.jumpWall(4_000_000_000_000);
  await pair.advance(5_000);
  t.deepEqual(readTokens(pair), [true, false]);
});

test('a lost reply to the first write and to a renewal is resolved by reading back', async (t) => {
  const pair = createLeasePair();
  pair.table.loseNextAnswers(1);
  pair.holders[0].holder.start();
  await pair.advance(500);
  t.deepEqual(readTokens(pair), [true, false]);
  pair.table.loseNextAnswers(1);
  await pair.advance(9_000);
  t.deepEqual(readTokens(pair), [true, false]);
});

test('an outage ends the orders before the lease ends, and the lease comes back', async (t) => {
  const pair = await startPair();
  pair.table.setOutage('unavailable');
  await pair.advance(12_000);
  t.deepEqual(readTokens(pair), [false, false]);
  pair.table.setOutage('none');
  await pair.advance(30_000);
  t.is(readTokens(pair).filter(Boolean).length, 1);
  t.deepEqual(pair.listViolations(), []);
});

test('a lease that is given up passes on at once; a seen higher token is overtaken', async (t) => {
  const pair = await startPair();
  const [first, second] = pair.holders;
  await first.holder.stop();
  t.is(first.holder.readOrderToken(), null);
  await pair.advance(5_500);
  t.deepEqual(readTokens(pair), [false, true]);
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

/** Searches schedules of pauses and faults for two holders that order at once. */
const findFault = async (times: typeof TIMES): Promise<boolean> => {
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

test('no schedule of pauses, outages and lost answers lets two holders order at once', async (t) => {
  t.false(await findFault(TIMES));
});

test('the search finds a holder that does not check its lease', async (t) => {
  t.true(await findFault({ ...TIMES, orderMarginMs: -1_000_000 }));
});

test('the search finds a new holder that does not wait the old lease out', async (t) => {
  t.true(await findFault({ ...TIMES, takeoverMarginMs: -9_000 }));
});
