// Guards against a bad version that gets more requests than it may, or for longer, and against a good
// one that is held up: a roll-out over many VMs, with losses.
import test from 'ava';
import { RolloutState } from '../../src/domain/rollouts';
import {
  simulateRollout,
  VersionTrait,
  type RolloutSimulation,
  type RolloutSimulationResult,
} from '../../standins/rollouts';

const BASE = { vms: 9, requestsPerS: 120, durationMs: 12_000, failing: 0.05 } as const;

/** Half of what the operator bears. */
const MAX_PART = 0.05;
const MAX_EXTRA = 25;
const MAX_LATE_MS = 2000;

const BAD_TRAITS = Object.values(VersionTrait).filter((trait) => trait !== VersionTrait.Good);

const isBounded = ({ lateMs, requests, trials }: RolloutSimulationResult): boolean =>
  trials <= MAX_PART * requests + MAX_EXTRA && lateMs <= MAX_LATE_MS;

const runSeeds = async (
  seeds: readonly number[],
  model: Omit<RolloutSimulation, 'seed'>,
): Promise<readonly RolloutSimulationResult[]> => {
  const results: RolloutSimulationResult[] = [];
  for (const seed of seeds) results.push(await simulateRollout({ ...model, seed }));
  return results;
};

BAD_TRAITS.forEach((trait) =>
  test(`a version that is bad (${trait}) is reverted, and gets no more than its part`, async (t) => {
    const results = await runSeeds([1, 2, 3, 4, 5], { ...BASE, trait });
    t.deepEqual(
      results.map(({ state }) => state),
      results.map(() => RolloutState.Reverted),
    );
    t.true(results.every(isBounded), JSON.stringify(results));
  }),
);

test('a good version is completed in time, at few calls to the store', async (t) => {
  const results = await runSeeds([1, 2, 3, 4, 5], { ...BASE, trait: VersionTrait.Good });
  t.deepEqual(
    results.map(({ state }) => state),
    results.map(() => RolloutState.Completed),
  );
  t.true(
    results.every(({ storeCalls }) => storeCalls <= 18),
    JSON.stringify(results),
  );
});

test('a bad version is reverted in a fleet of 85 VMs', async (t) => {
  const model = { ...BASE, vms: 85, requestsPerS: 200, trait: VersionTrait.FailsHalf };
  const [result] = await runSeeds([1], model);
  t.is(result?.state, RolloutState.Reverted);
  t.true(result !== undefined && isBounded(result), JSON.stringify(result));
});

test('the next VM judges where the one that judged is lost', async (t) => {
  const losses = { ...BASE, judgeLostAtMs: 1500 };
  const bad = await runSeeds([1, 2, 3], { ...losses, trait: VersionTrait.FailsLater });
  t.true(bad.every(isBounded), JSON.stringify(bad));
  t.true(bad.every(({ state }) => state === RolloutState.Reverted));
  const good = await runSeeds([1, 2, 3], { ...losses, trait: VersionTrait.Good });
  t.true(good.every(({ state }) => state === RolloutState.Completed));
});

test('a version that was reverted stays so when all processes start anew', async (t) => {
  const model = { ...BASE, restartAtMs: 7000, trait: VersionTrait.FailsHalf };
  const results = await runSeeds([1, 2, 3], model);
  t.true(
    results.every(({ state }) => state === RolloutState.Reverted),
    JSON.stringify(results),
  );
  t.true(results.every(isBounded), JSON.stringify(results));
});

test('a bad version gets no more than its part while the store answers nothing', async (t) => {
  const storeAway = { fromMs: 0, untilMs: 8000 };
  const results = await runSeeds([1, 2, 3], { ...BASE, storeAway, trait: VersionTrait.FailsHalf });
  t.true(results.every(isBounded), JSON.stringify(results));
  t.true(
    results.every(({ state }) => state === RolloutState.Reverted),
    JSON.stringify(results),
  );
});
