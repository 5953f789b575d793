import test from 'ava';
import { ok } from 'neverthrow';
import { RolloutState } from '../../../domain/rollouts';
import { computeRowVersion } from '../../../domain/rows';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { createRollouts } from '.';

const SERVICE = 's';

const build = () => {
  const changes: string[] = [];
  const rollouts = createRollouts({
    decodeOrder: ({ value, version }) =>
      ok({ service: SERVICE, to: String(value), durationMs: 60_000, sequence: version }),
    bounds: { trialRatio: 0.1, trialExtra: 50 },
    listServing: () => [],
    countVms: () => 1,
    clock: createFakeClock(),
    log: QUIET_LOG,
    randomness: createSeededRandomness(1),
    tellVerdict: () => undefined,
    handleChange: (service) => changes.push(service),
    handleEvidence: () => undefined,
  });
  const order = (to: string, era: number, revision: number): number => {
    const version = computeRowVersion({ era, revision });
    rollouts.applyRows([{ key: `rollout/${SERVICE}`, value: Buffer.from(to), version }]);
    return version;
  };
  return { changes, order, rollouts };
};

test('an order that the store still holds after it came back older keeps its verdict, which is written again', (t) => {
  const { changes, order, rollouts } = build();
  const sequence = order('v2', 1, 90);
  const state = RolloutState.Reverted;
  rollouts.applyVerdict({ service: SERVICE, to: 'v2', sequence, state, isStored: true });
  changes.length = 0;
  const renewed = order('v2', 2, 40);
  t.like(rollouts.find(SERVICE)?.verdict, { state, sequence: renewed, isStored: false });
  t.deepEqual(changes, [SERVICE]);
});

test('an order that is given after the store came back older begins anew, whatever its version', (t) => {
  const { order, rollouts } = build();
  const sequence = order('v2', 1, 90);
  const state = RolloutState.Reverted;
  rollouts.applyVerdict({ service: SERVICE, to: 'v2', sequence, state, isStored: true });
  order('v3', 2, 40);
  t.like(rollouts.find(SERVICE)?.verdict, { to: 'v3', state: RolloutState.InProgress });
});

test('the same order given again in the same era begins anew', (t) => {
  const { order, rollouts } = build();
  const sequence = order('v2', 1, 90);
  const state = RolloutState.Reverted;
  rollouts.applyVerdict({ service: SERVICE, to: 'v2', sequence, state, isStored: true });
  order('v2', 1, 95);
  t.like(rollouts.find(SERVICE)?.verdict, { state: RolloutState.InProgress });
});
