import test from 'ava';
import { quantile } from 'simple-statistics';
import { simulateLoad, type SimulatedLoad, type SimulatedLoadResult } from '../../standins/model';

const SEEDS = [1, 2];

const repeat = (count: number, seconds: number): number[] => new Array<number>(seconds).fill(count);

const countTwice = ({ outcomes }: SimulatedLoadResult): number =>
  outcomes.filter(({ refusals }) => refusals > 1).length;

/** Time to the first event that one stream in ten exceeds. */
const findSlowestTenth = ({ outcomes }: SimulatedLoadResult): number =>
  quantile(
    outcomes.map(({ firstEventMs }) => firstEventMs ?? Infinity),
    0.9,
  );

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Plays a load with some seeds over the gateways' own code, in virtual time. */
const play = async (load: Omit<SimulatedLoad, 'seed' | 'engines' | 'vms'>) => {
  const results = await Promise.all(
    SEEDS.map((seed) => simulateLoad({ seed, engines: 13, vms: 9, ...load })),
  );
  return {
    streams: results[0]?.outcomes.length ?? 0,
    inTime: mean(results.map(({ withinGoal }) => withinGoal)),
    sends: mean(results.map(({ attempts }) => attempts)),
    tokensPerStream: mean(results.map(({ prefillTokensPerStream }) => prefillTokensPerStream)),
    refusedTwice: mean(results.map(countTwice)),
    slowestTenthMs: mean(results.map(findSlowestTenth)),
  };
};

const NONE_DOWN = { count: 0, fromS: 0, untilS: 0 };

test('a load that engines can read is served in time, without a refusal', async (t) => {
  const result = await play({ streamsPerS: repeat(3, 18), outage: NONE_DOWN });
  t.is(result.inTime, 54);
  t.is(result.refusedTwice, 0);
});

// Symptom: with most engines idle, one prompt in five waits behind another that was sent a moment
// before; first events come after 3 s and more, or the place is given up and the prompt read twice.
// Sequence: two prompts come within some ms; reports are a tenth of a second old, so that both VMs,
// or both requests of one VM, find the same engine idle and send there.
// Cause: the choice counted what reports show, and what this VM had sent only before it asked.
test('prompts that come together are spread over idle engines', async (t) => {
  const result = await play({ streamsPerS: repeat(6, 16), burstSize: 6, outage: NONE_DOWN });
  t.log(result);
  t.is(result.inTime, result.streams);
  t.true(result.slowestTenthMs <= 1600);
});

// Symptom: the longest prompts, which are worth most, are refused although most engines are idle, come
// back after a goal and are refused again.
// Sequence: a prompt of 26,000 tokens takes 4.0 s to read; it can not begin within 0.75 of the goal.
// Cause: a limit that is to keep queues short was applied where there was no queue.
// Before: none of 10 in time, all refused twice.
test('long prompts are sent to free engines', async (t) => {
  const result = await play({
    streamsPerS: repeat(1, 10),
    promptTokens: 24_000,
    outage: NONE_DOWN,
  });
  t.log(result);
  t.is(result.refusedTwice, 0);
  t.true(result.inTime >= 9);
});

// Symptom: in a burst with half of the engines lost a third of the streams come in time, and as many
// prompts again are read in vain.
// Sequence: all streams are sent and queue; places in queues are given up for others; all are late.
// Cause: nothing predicted when a server can begin, and a queue that moves was taken for silence.
// Before, mean of three seeds: 67 of 106 in time, 174 sends, 17,100 tokens read for each in time.
test('in a burst with half of the engines lost, most streams come in time', async (t) => {
  const result = await play({
    streamsPerS: [...repeat(3, 6), ...repeat(16, 4), ...repeat(3, 8)],
    outage: { count: 6, fromS: 5, untilS: 9 },
  });
  t.log(result);
  t.true(result.inTime >= 74);
  t.true(result.sends <= 130);
  t.true(result.tokensPerStream <= 13_000);
});

// Before, mean of three seeds: 99 of 196 in time, 413 sends, 21,500 tokens read for each in time.
test('at twice what engines can read, no prompt is read for long in vain', async (t) => {
  const result = await play({ streamsPerS: repeat(14, 14), outage: NONE_DOWN });
  t.log(result);
  t.true(result.inTime >= 104);
  t.true(result.sends <= 196);
  t.true(result.tokensPerStream <= 15_000);
});

// Before, mean of three seeds: 65 of 251 in time, 620 sends, 33,100 tokens read for each in time.
test('at four times what engines can read, those that are sent come in time', async (t) => {
  const result = await play({
    streamsPerS: [...repeat(3, 3), ...repeat(28, 8), ...repeat(3, 6)],
    outage: NONE_DOWN,
  });
  t.log(result);
  t.true(result.inTime >= 80);
  t.true(result.sends <= 200);
  t.true(result.tokensPerStream <= 18_000);
});
