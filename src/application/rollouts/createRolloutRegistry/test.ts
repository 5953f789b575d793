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

/** Versions that orders name, by what their rows hold. */
const TARGETS: ReadonlyMap<string, string> = new Map([
  ['order', 'v2'],
  ['other', 'v3'],
]);

/** A VM that has run for a while, with an order that has just come. */
const setUp = () => {
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
    countVms: () => 9,
    clock,
    log: QUIET_LOG,
    randomness: createSeededRandomness(1),
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

test('requests before the new version has servers use up none of its trials', (t) => {
  const { clock, sendMany, servers } = setUp();
  clock.advance(30_000);
  t.false(sendMany(100).includes('v2'));
  servers.push(CANDIDATE);
  t.true(sendMany(10).filter((version) => version === 'v2').length >= 5);
});

test('the second attempt of a request that tried the new version goes to the established one', (t) => {
  const { clock, rollouts, servers } = setUp();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  const request = rollouts.openRequest(REQUEST);
  t.deepEqual(request.list(), [CANDIDATE]);
  request.recordSent(CANDIDATE.entry);
  t.deepEqual(request.list(), [ESTABLISHED]);
});

test('nothing goes to a version once it is reverted, also where no other server is left', (t) => {
  const { clock, rollouts, send, servers } = setUp();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  t.true(rollouts.mergeVerdict(verdict));
  t.is(send(), 'v1');
  servers.shift();
  t.is(send(), undefined);
});

test('a verdict that comes before its order holds from the order on', (t) => {
  const { clock, rollouts, sendMany, servers } = setUp();
  rollouts.mergeVerdict({ ...verdict, sequence: 8 });
  rollouts.applyRows([{ ...ORDER, version: 8 }]);
  servers.push(CANDIDATE);
  clock.advance(30_000);
  t.is(rollouts.find('s')?.verdict.state, RolloutState.Reverted);
  t.false(sendMany(50).includes('v2'));
});

test('a malformed order changes nothing', (t) => {
  const { rollouts } = setUp();
  rollouts.applyRows([{ ...ORDER, value: Buffer.from('{'), version: 9 }]);
  t.is(rollouts.find('s')?.order.sequence, 7);
});

test('while results were told to nobody, nothing is tried', (t) => {
  const { clock, rollouts, sendMany, servers } = setUp();
  servers.push(CANDIDATE);
  clock.advance(30_000);
  rollouts.setTrialsPaused('s', true);
  t.false(sendMany(50).includes('v2'));
});

/** Gives the order, or one to another version, in an era of the store; returns its sequence. */
const giveOrder = ({ rollouts }: ReturnType<typeof setUp>, era: number, to = 'order'): number => {
  const version = computeRowVersion({ era, revision: 5 });
  rollouts.applyRows([{ ...ORDER, value: Buffer.from(to), version }]);
  return version;
};

test('an order that the store still holds after it came back older keeps its verdict, which is written again', (t) => {
  const bench = setUp();
  bench.rollouts.applyVerdict({ ...verdict, isStored: true });
  bench.changes.length = 0;
  const sequence = giveOrder(bench, 1);
  const { state } = verdict;
  t.like(bench.rollouts.find('s')?.verdict, { state, sequence, isStored: false });
  t.deepEqual(bench.changes, ['s']);
});

test('an order to another version begins anew, also where the store came back older before', (t) => {
  const bench = setUp();
  bench.rollouts.applyVerdict({ ...verdict, isStored: true });
  giveOrder(bench, 1, 'other');
  t.like(bench.rollouts.find('s')?.verdict, { to: 'v3', state: RolloutState.InProgress });
});

test('the same order given again begins anew while the store did not come back older', (t) => {
  const bench = setUp();
  bench.rollouts.applyVerdict({ ...verdict, isStored: true });
  bench.rollouts.applyRows([{ ...ORDER, version: 9 }]);
  t.like(bench.rollouts.find('s')?.verdict, { sequence: 9, state: RolloutState.InProgress });
});
