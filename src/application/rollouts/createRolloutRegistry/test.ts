import test from 'ava';
import { err, ok } from 'neverthrow';
import {
  buildServerStatus,
  createFakeClock,
  createSeededRandomness,
  QUIET_LOG,
} from '../../../../standins/fakes';
import { RolloutState, type RolloutVerdict } from '../../../domain/rollouts';
import { computeRowVersion } from '../../../domain/rows';
import { createRolloutRegistry } from '.';

const REQUEST = { service: 's', route: 'r' };

const buildServer = (id: string, version: string) => {
  const status = buildServerStatus(id, 'z1');
  return { ...status, entry: { ...status.entry, version } };
};

const ESTABLISHED = buildServer('o-1', 'v1');
const CANDIDATE = buildServer('n-1', 'v2');

const ORDER = { key: 'rollout/s', value: Buffer.from('order'), version: 7 };

/** Target versions, by the content of the order row. */
const TARGETS: ReadonlyMap<string, string> = new Map([
  ['order', 'v2'],
  ['other', 'v3'],
]);

/** Creates the registry of a VM that has run for 20 s and has just received an order. */
const createFixture = ({ draw = 0.5, share = 1 / 9 } = {}) => {
  const clock = createFakeClock();
  const servers = [ESTABLISHED];
  const changes: string[] = [];
  const rollouts = createRolloutRegistry({
    decodeOrder: ({ value, version }) => {
      const to = TARGETS.get(value?.toString() ?? '');
      return to
        ? ok({ service: 's', to, durationMs: 60_000, sequence: version })
        : err('malformed');
    },
    bounds: { trialRatio: 0.1, trialExtra: 50 },
    listServing: () => servers,
    readShare: () => share,
    clock,
    log: QUIET_LOG,
    randomness: { ...createSeededRandomness(1), readFraction: () => draw },
    broadcastVerdict: () => undefined,
    handleChange: (service) => changes.push(service),
    handleEvidence: () => undefined,
  });
  rollouts.applyRows([]);
  clock.advance(20_000);
  rollouts.applyRows([ORDER]);
  const send = (): string | undefined => {
    const request = rollouts.openRequest(REQUEST);
    const [server] = request.list();
    if (server) request.recordSent(server.entry);
    return server?.entry.version;
  };
  const sendMany = (count: number) => Array.from({ length: count }, send);
  return { changes, clock, rollouts, send, sendMany, servers };
};

const verdict: RolloutVerdict = {
  service: 's',
  to: 'v2',
  sequence: 7,
  state: RolloutState.Reverted,
  isStored: false,
};

// Guards against trials beyond the bounds of all VMs: each VM that knew no other took the largest part.
test('VMs that know nobody send no more trials than all may together', (t) => {
  const vms = 85;
  const requests = 3;
  const trials = Array.from({ length: vms }, (_, index) => {
    const draw = (index + 0.5) / vms;
    const { clock, sendMany, servers } = createFixture({ draw, share: 1 / vms });
    servers.push(CANDIDATE);
    clock.advance(30_000);
    return sendMany(requests).filter((version) => version === 'v2').length;
  }).reduce((sum, one) => sum + one, 0);
  t.true(trials > 0);
  t.log(`${trials} trials`);
  t.true(trials <= 0.1 * vms * requests + 50, `${trials}`);
});

test('requests before the new version has servers do not use up its trials', (t) => {
  const { clock, sendMany, servers } = createFixture();
  clock.advance(30_000);
  t.false(sendMany(100).includes('v2'));
  servers.push(CANDIDATE);
  t.true(sendMany(10).filter((version) => version === 'v2').length >= 5);
});

test('the second attempt of a request that tried the new version goes to the established one', (t) => {
  const { clock, rollouts, servers } = createFixture();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  const request = rollouts.openRequest(REQUEST);
  t.deepEqual(request.list(), [CANDIDATE]);
  request.recordSent(CANDIDATE.entry);
  t.deepEqual(request.list(), [ESTABLISHED]);
});

test('no request goes to a reverted version, even if no other server is left', (t) => {
  const { clock, rollouts, send, servers } = createFixture();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  t.true(rollouts.mergeVerdict(verdict));
  t.is(send(), 'v1');
  servers.shift();
  t.is(send(), undefined);
});

test('a verdict that arrives before its order applies once the order arrives', (t) => {
  const { clock, rollouts, sendMany, servers } = createFixture();
  rollouts.mergeVerdict({ ...verdict, sequence: 8 });
  rollouts.applyRows([{ ...ORDER, version: 8 }]);
  servers.push(CANDIDATE);
  clock.advance(30_000);
  t.is(rollouts.find('s')?.verdict.state, RolloutState.Reverted);
  t.false(sendMany(50).includes('v2'));
});

test('a malformed order is ignored', (t) => {
  const { rollouts } = createFixture();
  rollouts.applyRows([{ ...ORDER, value: Buffer.from('{'), version: 9 }]);
  t.is(rollouts.find('s')?.order.sequence, 7);
});

test('paused trials send no request to the new version', (t) => {
  const { clock, rollouts, sendMany, servers } = createFixture();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  rollouts.setTrialsPaused('s', true);
  t.false(sendMany(50).includes('v2'));
});

/** Applies the order, or one to another version, in an era of the store; returns its sequence. */
const applyOrder = (
  { rollouts }: ReturnType<typeof createFixture>,
  era: number,
  to = 'order',
): number => {
  const version = computeRowVersion({ era, revision: 5 });
  rollouts.applyRows([{ ...ORDER, value: Buffer.from(to), version }]);
  return version;
};

test('an order that survives a restore of the store keeps its verdict, which is written again', (t) => {
  const fixture = createFixture();
  fixture.rollouts.applyVerdict({ ...verdict, isStored: true });
  fixture.changes.length = 0;
  const sequence = applyOrder(fixture, 1);
  const { state } = verdict;
  t.like(fixture.rollouts.find('s')?.verdict, { state, sequence, isStored: false });
  t.deepEqual(fixture.changes, ['s']);
});

test('an order to another version starts a new rollout, even after a restore of the store', (t) => {
  const fixture = createFixture();
  fixture.rollouts.applyVerdict({ ...verdict, isStored: true });
  applyOrder(fixture, 1, 'other');
  t.like(fixture.rollouts.find('s')?.verdict, { to: 'v3', state: RolloutState.InProgress });
});

test('the same order given again without a restore of the store starts a new rollout', (t) => {
  const fixture = createFixture();
  fixture.rollouts.applyVerdict({ ...verdict, isStored: true });
  fixture.rollouts.applyRows([{ ...ORDER, version: 9 }]);
  t.like(fixture.rollouts.find('s')?.verdict, { sequence: 9, state: RolloutState.InProgress });
});
