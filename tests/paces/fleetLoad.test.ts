import test from 'ava';
import { runPacedCalls, type PacedCall, type PacedCalls } from './runPacedCalls';

const WARMUP_MS = 3000;
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
  knowsFleet: true,
  seed: 1,
} satisfies PacedCalls;

/** As much as when each of the some 320 calls of a half second goes to any server at random. */
const MAX_SWING = 0.035;

const runSeeds = async (change: Partial<PacedCalls>): Promise<readonly (readonly PacedCall[])[]> =>
  Promise.all(
    SEEDS.map(async (seed) => {
      const calls = await runPacedCalls({ ...LOAD, ...change, seed });
      return calls.filter(({ sentAtMs }) => sentAtMs > WARMUP_MS);
    }),
  );

const findQuantile = (calls: readonly PacedCall[], fraction: number): number =>
  calls.map(({ tookMs }) => tookMs).sort((a, b) => a - b)[Math.floor(calls.length * fraction)] ??
  Infinity;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Computes the share of each server in the calls of each half second. */
const listShares = (calls: readonly PacedCall[]): readonly (readonly number[])[] =>
  Array.from({ length: (LOAD.durationMs - WARMUP_MS) / 500 }, (_, index) => {
    const fromMs = WARMUP_MS + index * 500;
    const sent = calls.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < fromMs + 500);
    return LOAD.speeds.map(
      (_speed, server) => sent.filter((call) => call.server === server).length / sent.length,
    );
  });

/** Computes how far the servers' shares of the calls are from their shares of the speed. */
const computeSpread = (calls: readonly PacedCall[], speeds: readonly number[]): number => {
  const total = speeds.reduce((sum, speed) => sum + speed, 0);
  const shares = listShares(calls).flatMap((ofServers) =>
    ofServers.map((share, server) => Math.abs(share - (speeds[server] ?? 0) / total)),
  );
  return computeMean(shares);
};

/** Computes by how much a server's share differs from one half second to the next. */
const computeSwing = (calls: readonly PacedCall[]): number => {
  const shares = listShares(calls);
  const steps = shares
    .slice(1)
    .flatMap((ofServers, index) =>
      ofServers.map((share, server) => Math.abs(share - (shares[index]?.[server] ?? 0))),
    );
  return computeMean(steps);
};

const summarize = (runs: readonly (readonly PacedCall[])[], speeds: readonly number[]) => ({
  meanMs: computeMean(runs.flat().map(({ tookMs }) => tookMs)),
  p99Ms: findQuantile(runs.flat(), 0.99),
  spread: computeMean(runs.map((calls) => computeSpread(calls, speeds))),
  swing: computeMean(runs.map(computeSwing)),
});

const format = ({ meanMs, p99Ms, spread, swing }: ReturnType<typeof summarize>): string =>
  `mean ${meanMs.toFixed(1)} ms, p99 ${p99Ms.toFixed(0)} ms, spread ${spread.toFixed(3)}, swing ${swing.toFixed(3)}`;

test('VMs that know the load of the fleet answer faster on uneven servers, and as steadily', async (t) => {
  const known = summarize(await runSeeds({}), LOAD.speeds);
  const unknown = summarize(await runSeeds({ knowsFleet: false }), LOAD.speeds);
  t.log(`with the view ${format(known)}`);
  t.log(`without ${format(unknown)}`);
  t.true(known.p99Ms < unknown.p99Ms);
  t.true(known.meanMs < unknown.meanMs);
  t.true(known.swing < unknown.swing * 1.25);
});

// Guards against VMs that all follow one view, and fill up one server after the other.
test('calls do not swing between equal servers while the demand moves between zones', async (t) => {
  const equal = { speeds: [1, 1, 1], onlySpells: new Map<number, number>() };
  const known = summarize(await runSeeds(equal), equal.speeds);
  const unknown = summarize(await runSeeds({ ...equal, knowsFleet: false }), equal.speeds);
  t.log(`with the view ${format(known)}`);
  t.log(`without ${format(unknown)}`);
  t.true(known.swing < MAX_SWING);
  t.true(known.p99Ms < unknown.p99Ms * 1.1);
});
