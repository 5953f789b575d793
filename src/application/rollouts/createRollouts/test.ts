import test from 'ava';
import { err, ok } from 'neverthrow';
import {
  buildServerStatus,
  createFakeClock,
  createSeededRandomness,
  QUIET_LOG,
} from '../../../../standins/fakes';
import { RolloutState, type RolloutVerdict } from '../../../domain/rollouts';
import { createRollouts } from '.';

const REQUEST = { service: 's', route: 'r' };

const buildServer = (id: string, version: string) => {
  const status = buildServerStatus(id, 'z1');
  return { ...status, entry: { ...status.entry, version } };
};

const ESTABLISHED = buildServer('o-1', 'v1');
const CANDIDATE = buildServer('n-1', 'v2');

const ORDER = { key: 'rollout/s', value: Buffer.from('order'), version: 7 };

/** A VM that has run for a while, with an order that has just come. */
const setUp = () => {
  const clock = createFakeClock();
  const servers = [ESTABLISHED];
  const rollouts = createRollouts({
    decodeOrder: ({ value, version }) =>
      value?.toString() === 'order'
        ? ok({ service: 's', to: 'v2', durationMs: 60_000, sequence: version })
        : err('malformed'),
    bounds: { trialRatio: 0.1, trialExtra: 50 },
    listServing: () => servers,
    countVms: () => 9,
    clock,
    log: QUIET_LOG,
    randomness: createSeededRandomness(1),
    tellVerdict: () => undefined,
    handleChange: () => undefined,
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
  return { clock, rollouts, send, sendMany, servers };
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
