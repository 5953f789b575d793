// Plays loads of several times the room on the scheduler, and checks what callers get.
import test, { type ExecutionContext } from 'ava';
import { playSchedule } from './_lib/playSchedule';
import type { PlayedKind, PlayedLoad, PlayedResult, PlayedStream } from './_lib/types';

const WORKSPACES = 12;
const WARMUP_MS = 5000;
const PROMPT_TOKENS = 8200;

const chooseWorkspace = (draw: number): string => `w-${Math.floor(draw * WORKSPACES)}`;
const buildUrgent = (perS: PlayedKind['perS']): PlayedKind => ({
  name: 'urgent',
  priority: 0,
  goalMs: 4000,
  perS,
  chooseWorkspace,
});
const buildOther = (perS: PlayedKind['perS']): PlayedKind => ({
  ...buildUrgent(perS),
  name: 'other',
  priority: 2,
  goalMs: 10_000,
});
const buildLoad = (kinds: readonly PlayedKind[], change: Partial<PlayedLoad> = {}): PlayedLoad => ({
  seed: 7,
  engines: 15,
  seconds: 40,
  kinds,
  ...change,
});

const listMeasured = (streams: readonly PlayedStream[], kind: string): readonly PlayedStream[] =>
  streams.filter((one) => one.kind === kind && one.calledAtMs > WARMUP_MS);
const isServed = ({ endedMs }: PlayedStream): boolean => endedMs !== null;
const isInTime =
  (goalMs: number) =>
  (stream: PlayedStream): boolean =>
    isServed(stream) && (stream.firstEventMs ?? Infinity) <= goalMs;
const computeShare = (
  streams: readonly PlayedStream[],
  isCounted: (stream: PlayedStream) => boolean,
): number => streams.filter(isCounted).length / Math.max(1, streams.length);
const findQuantile = (values: readonly number[], fraction: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length * fraction)] ?? 0;

/** Streams a second of all kinds that were served. */
const computeServedPerS = ({ streams }: PlayedResult, seconds: number): number => {
  const served = streams.filter((one) => one.calledAtMs > WARMUP_MS && isServed(one)).length;
  return served / (seconds - WARMUP_MS / 1000);
};
const computeVainShare = ({ prefilledTokens, streams }: PlayedResult): number =>
  1 - (streams.filter(isServed).length * PROMPT_TOKENS) / prefilledTokens;

const logResult = (t: ExecutionContext, load: PlayedLoad, result: PlayedResult): void => {
  load.kinds.forEach(({ goalMs, name }) => {
    const own = listMeasured(result.streams, name);
    const refused = own.filter(({ refusals }) => refusals > 0).length;
    const inTime = own.filter(isInTime(goalMs)).length;
    t.log(`${name}: ${own.length} asked, ${inTime} in time, ${refused} refused`);
  });
  t.log(`${computeServedPerS(result, load.seconds).toFixed(2)} served a second`);
  t.log(`${computeVainShare(result).toFixed(3)} of the prompt tokens read in vain`);
};

const play = async (t: ExecutionContext, load: PlayedLoad): Promise<PlayedResult> => {
  const result = await playSchedule(load);
  logResult(t, load, result);
  return result;
};

/** Streams a second that the engines serve in time with a single class that asks for 4 times as many. */
let roomPerS = 0;
test.before(async (t) => {
  const load = buildLoad([buildOther(() => 30)]);
  const result = await play(t, load);
  roomPerS = computeServedPerS(result, load.seconds);
});

const URGENT_SHARES = [0.1, 0.25, 0.5];
URGENT_SHARES.forEach((share) => {
  test(`urgent demand of ${share} of the room fits beside 6 times the room of the less urgent`, async (t) => {
    const urgentPerS = roomPerS * share;
    const load = buildLoad([buildUrgent(() => urgentPerS), buildOther(() => roomPerS * 6)]);
    const result = await play(t, load);
    t.true(computeShare(listMeasured(result.streams, 'urgent'), isInTime(4000)) >= 0.95);
    const others = listMeasured(result.streams, 'other').filter(isInTime(10_000)).length;
    t.true(others / 35 >= (roomPerS - urgentPerS) * 0.9);
    t.true(computeServedPerS(result, load.seconds) >= roomPerS * 0.95);
    t.true(computeVainShare(result) < 0.03);
  });
});

test('all but 2% of the refusals are known at the arrival and sent within 50 ms', async (t) => {
  const load = buildLoad([buildUrgent(() => 1), buildOther(() => 40)]);
  const { streams } = await play(t, load);
  const delays = streams.flatMap(({ refusedAfterMs }) => refusedAfterMs ?? []);
  const late = delays.filter((one) => one > 50).length;
  t.log(`${late} of ${delays.length} refusals after 50 ms`);
  t.true(late / delays.length < 0.02);
});

test('a burst of 2.6 times the usual urgent demand is served in time', async (t) => {
  const load = buildLoad([
    buildUrgent((second) => (second % 10 < 2 ? 5.2 : 2)),
    buildOther(() => 10),
  ]);
  const { streams } = await play(t, load);
  t.true(computeShare(listMeasured(streams, 'urgent'), isInTime(4000)) >= 0.95);
});

test('while urgent demand exceeds the room, the less urgent gets a fifth of the starts', async (t) => {
  const load = buildLoad([buildUrgent(() => 15), buildOther(() => 15)]);
  const { streams } = await play(t, load);
  const urgent = listMeasured(streams, 'urgent').filter(isServed).length;
  const other = listMeasured(streams, 'other').filter(isServed).length;
  t.log(`${urgent} urgent and ${other} less urgent streams served`);
  t.true(other >= urgent * 0.2);
  t.true(other <= urgent * 0.35);
});

test('a workspace that asks for most does not push others under half of their fair share', async (t) => {
  const chooseUneven = (draw: number): string =>
    draw < 0.7 ? 'large' : `w-${Math.floor(((draw - 0.7) / 0.3) * 6)}`;
  const load = buildLoad([{ ...buildOther(() => 30), chooseWorkspace: chooseUneven }]);
  const { streams } = await play(t, load);
  const measured = listMeasured(streams, 'other');
  const served = measured.filter(isServed);
  const names = [...new Set(measured.map(({ workspace }) => workspace))];
  names.forEach((name) => {
    const asked = measured.filter(({ workspace }) => workspace === name).length;
    const got = served.filter(({ workspace }) => workspace === name).length;
    t.log(`${name}: ${asked} asked, ${got} served`);
    t.true(got >= Math.min(asked, served.length / names.length) / 2);
  });
});

test('light load is served in time, without refusals', async (t) => {
  const load = buildLoad([buildUrgent(() => 0.5), buildOther(() => 2)]);
  const { streams } = await play(t, load);
  t.is(streams.filter(({ refusals }) => refusals > 0).length, 0);
  t.is(computeShare(listMeasured(streams, 'urgent'), isInTime(4000)), 1);
  t.is(computeShare(listMeasured(streams, 'other'), isInTime(10_000)), 1);
});

test('half of the engines lost for 1.2 s leave the urgent streams in time', async (t) => {
  const load = buildLoad([buildUrgent(() => 0.8), buildOther(() => 6)], {
    outage: { count: 7, fromS: 15, untilS: 16.2 },
  });
  const { streams } = await play(t, load);
  t.true(computeShare(listMeasured(streams, 'urgent'), isInTime(4000)) >= 0.95);
  t.true(computeShare(listMeasured(streams, 'other'), isServed) >= 0.8);
});

test('a decision takes less than 0.3 ms at the median with 84 servers and a long queue', async (t) => {
  const load = buildLoad([buildUrgent(() => 4), buildOther(() => 70)], {
    engines: 84,
    seconds: 15,
  });
  const { decisionMs } = await playSchedule(load);
  const median = findQuantile(decisionMs, 0.5);
  t.log(`median ${median.toFixed(3)} ms, p99 ${findQuantile(decisionMs, 0.99).toFixed(3)} ms`);
  t.true(median < 0.3);
});
