import test from 'ava';
import { runPacedCalls, type PacedCall, type PacedCalls } from './runPacedCalls';

const WARMUP_MS = 3000;
const BIN_MS = 500;
const SEEDS = [1, 2, 3];

/** Each VM sends some nine calls a second; the demand of each zone waves, one after the other. */
const LOAD = {
  speeds: [0.7, 0.7, 1.7],
  utilization: 0.75,
  vms: 82,
  durationMs: 15_000,
  statesFactor: true,
  demandWave: 0.55,
  crossingMs: 2,
} satisfies Partial<PacedCalls>;

/** As much as when each of the some 320 calls of a half second goes to any server at random. */
const RANDOM_SWING = 0.035;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Computes the mean difference between the shares of the servers and others. */
const compareShares = (shares: readonly number[][], others: readonly (readonly number[])[]) =>
  computeMean(
    shares.flatMap((row, index) =>
      row.map((share, server) => Math.abs(share - (others[index]?.[server] ?? 0))),
    ),
  );

const summarize = (calls: readonly PacedCall[], speeds: readonly number[]) => {
  const bySpeed = speeds.map((speed) => speed / speeds.reduce((sum, other) => sum + other, 0));
  const shares = Array.from({ length: (LOAD.durationMs - WARMUP_MS) / BIN_MS }, (_, index) => {
    const sent = calls.filter(
      ({ sentAtMs }) => Math.floor((sentAtMs - WARMUP_MS) / BIN_MS) === index,
    );
    return speeds.map((_speed, id) => sent.filter(({ server }) => server === id).length / sent.length); // prettier-ignore
  });
  const times = calls.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
  return {
    mean: computeMean(times),
    p99: times[Math.floor(times.length * 0.99)] ?? Infinity,
    /** Distance of the servers' shares of the calls from their shares of the speed. */
    spread: compareShares(shares, shares.map(() => bySpeed)), // prettier-ignore
    /** Change of a server's share from one half second to the next. */
    swing: compareShares(shares.slice(1), shares),
  };
};

const run = async (change: Partial<PacedCalls>) => {
  const options = { ...LOAD, ...change };
  const runs = await Promise.all(SEEDS.map((seed) => runPacedCalls({ ...options, seed })));
  const late = runs.map((calls) => calls.filter(({ sentAtMs }) => sentAtMs > WARMUP_MS));
  const parts = late.map((calls) => summarize(calls, options.speeds));
  return {
    ...summarize(late.flat(), options.speeds),
    spread: computeMean(parts.map(({ spread }) => spread)),
    swing: computeMean(parts.map(({ swing }) => swing)),
  };
};

const EQUAL = { speeds: [1, 1, 1], onlySpells: new Map<number, number>() };

test('VMs that know the load of the fleet answer faster where servers are uneven', async (t) => {
  const known = await run({ knowsFleet: true });
  const unknown = await run({});
  t.log('with the view', known, 'without', unknown);
  t.true(known.p99 < unknown.p99 * 0.9);
  t.true(known.mean < unknown.mean * 0.9);
  t.true(known.swing < unknown.swing * 1.25);
});

// Guards against VMs that all follow one view, and fill up one server after the other.
test('calls do not swing between equal servers while the demand moves between zones', async (t) => {
  const known = await run({ ...EQUAL, knowsFleet: true });
  const unknown = await run(EQUAL);
  t.log('with the view', known, 'without', unknown);
  t.true(known.swing < RANDOM_SWING);
  t.true(known.p99 < unknown.p99 * 1.1);
});
