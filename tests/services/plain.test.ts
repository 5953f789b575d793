import test from 'ava';
import { err, ok } from 'neverthrow';
import { createHttpPlainClient } from '../../src/adapters/http';
import { createClaims } from '../../src/application/claims';
import { createPlainServices, type ServiceCall } from '../../src/application/services';
import type { BackendServer, Service } from '../../src/domain/types';
import {
  createFakeClock,
  createMemoryObjectStore,
  createMemoryTableStore,
  createSeededRandomness,
  QUIET_LOG,
} from '../../standins/fakes';
import { createStandInPlainService } from '../../standins/plain';
import { buildTestConfiguration } from '../_lib/buildTestConfiguration';
import { createFakeRouter } from '../_lib/createFakeRouter';

const buildServer = (name: string, url: string): BackendServer => ({
  name,
  url,
  region: 'r1',
  availabilityZone: 'z1',
  services: ['status', 'billing'],
  slots: 4,
  checksFencing: false,
});

const findService = (name: string): Service =>
  buildTestConfiguration().services.find((service) => service.name === name) as Service;

const buildCall = (change: Partial<ServiceCall> = {}, requestId = 'req_1'): ServiceCall => ({
  workspace: 'counter',
  service: findService('billing'),
  call: { requestId, method: 'POST', path: '/bill', headers: {}, body: Buffer.from('10') },
  idempotencyKey: 'bill-1',
  idempotent: true,
  timeoutMs: 5000,
  ...change,
});

const NEVER = new AbortController().signal;

const startTestServices = async () => {
  const clock = createFakeClock();
  const tableStore = createMemoryTableStore();
  const first = await createStandInPlainService();
  const second = await createStandInPlainService();
  const router = createFakeRouter([buildServer('one', first.url), buildServer('two', second.url)]);
  const client = createHttpPlainClient();
  const claims = createClaims({
    tableStore,
    objectStore: createMemoryObjectStore(),
    clock,
    randomness: createSeededRandomness(1),
    vm: 'entry-1',
    peerAddress: '127.0.0.1:1',
    readAnswerTtlMs: () => 60_000,
  });
  const log = QUIET_LOG;
  const services = createPlainServices({ router, claims, client, clock, log });
  const call = async (source: ServiceCall) => {
    const answer = await services.callService(source, NEVER);
    if (answer.isErr()) return err(answer.error);
    const chunks: Uint8Array[] = [];
    for await (const chunk of answer.value.response.body) chunks.push(chunk);
    const { response, runState } = answer.value;
    return ok({ status: response.status, runState });
  };
  const stop = () => Promise.all([client.stop(), first.stop(), second.stop()]);
  const countCalls = (): number => first.listCalls().length + second.listCalls().length;
  return { call, clock, countCalls, first, router, second, stop, tableStore };
};

test('a non-idempotent call runs once; its repeat is refused with run state ran', async (t) => {
  const system = await startTestServices();
  const first = (await system.call(buildCall()))._unsafeUnwrap();
  t.deepEqual([first.status, first.runState], [200, 'ran']);
  const repeat = (await system.call(buildCall({}, 'req_2')))._unsafeUnwrapErr();
  t.like(repeat, { code: 'already_ran', status: 409, runState: 'ran', retryAfterMs: 0 });
  const other = { ...buildCall().call, body: Buffer.from('99') };
  const reused = (await system.call(buildCall({ call: other })))._unsafeUnwrapErr();
  t.like(reused, { code: 'idempotency_key_reused', status: 422, runState: 'not-run' });
  t.is(system.countCalls(), 1);
  t.deepEqual(system.router.outcomes, ['finished', 'not-started', 'not-started']);
  await system.stop();
});

// Guards against a client that is billed twice: a call whose connection broke before the response
// was treated as not run, and sent to another server.
test('a non-idempotent call is not retried after its response is lost', async (t) => {
  const system = await startTestServices();
  system.first.addFault('drop-answer', 1);
  const lost = (await system.call(buildCall()))._unsafeUnwrapErr();
  t.like(lost, { code: 'backend_failed', runState: 'unknown', retryAfterMs: 0 });
  const repeat = (await system.call(buildCall({}, 'req_2')))._unsafeUnwrapErr();
  t.like(repeat, { code: 'claim_taken', status: 409, runState: 'unknown' });
  t.is(system.countCalls(), 1);
  await system.stop();
});

// Guards against `unknown` as the answer to the repeat of a call that was certainly not sent: its
// claim was not released.
test('a call that no server accepted has run state not-run, and its repeat runs', async (t) => {
  const system = await startTestServices();
  await system.first.kill();
  await system.second.kill();
  const refused = (await system.call(buildCall()))._unsafeUnwrapErr();
  t.is(refused.runState, 'not-run');
  t.is(system.router.demands.length, 3);
  await system.second.restart();
  const repeat = (await system.call(buildCall({}, 'req_2')))._unsafeUnwrap();
  t.is(repeat.runState, 'ran');
  t.is(system.countCalls(), 1);
  await system.stop();
});

test('with the store down a non-idempotent call is refused, a lookup is not', async (t) => {
  const system = await startTestServices();
  system.tableStore.setOutage('unavailable');
  const refused = (await system.call(buildCall()))._unsafeUnwrapErr();
  t.like(refused, { code: 'store_unavailable', status: 503, runState: 'not-run' });
  t.true(refused.retryAfterMs > 0);
  const lookup = buildCall({ service: findService('status') });
  t.is((await system.call(lookup))._unsafeUnwrap().runState, 'ran');
  t.is(system.countCalls(), 1);
  await system.stop();
});

test('a lookup with a key is retried elsewhere after a lost response; one without a key is not', async (t) => {
  const system = await startTestServices();
  system.first.addFault('drop-answer', 2);
  const keyed = buildCall({ service: findService('status') });
  t.is((await system.call(keyed))._unsafeUnwrap().runState, 'ran');
  t.deepEqual(system.router.demands[1]?.excludedServers, ['one']);
  t.is(system.router.demands[1]?.purpose, 'resume');
  const unkeyed = buildCall({ service: findService('status'), idempotencyKey: '' });
  t.is((await system.call(unkeyed))._unsafeUnwrapErr().runState, 'unknown');
  t.is(system.countCalls(), 3);
  await system.stop();
});

test('a call past its deadline fails at once with run state unknown', async (t) => {
  const system = await startTestServices();
  system.first.addFault('delay', 1);
  const pending = system.call(buildCall());
  await system.first.waitForCalls(1);
  system.clock.advance(5000);
  t.like((await pending)._unsafeUnwrapErr(), { code: 'timeout', status: 504, runState: 'unknown' });
  await system.stop();
});

test('a slow lookup is hedged on a second server, and the first response wins', async (t) => {
  const system = await startTestServices();
  system.first.addFault('delay', 1);
  const service = { ...findService('status'), workClass: 'lookup' as const };
  const pending = system.call(buildCall({ service }));
  await system.first.waitForCalls(1);
  system.clock.advance(50);
  t.is((await pending)._unsafeUnwrap().runState, 'ran');
  t.deepEqual(
    system.router.demands.map(({ purpose }) => purpose),
    ['start', 'hedge'],
  );
  await system.stop();
});

test('a non-idempotent call is never hedged', async (t) => {
  const system = await startTestServices();
  system.first.addFault('delay', 1);
  const pending = system.call(buildCall());
  await system.first.waitForCalls(1);
  system.clock.advance(4000);
  system.first.releaseAnswers();
  t.is((await pending)._unsafeUnwrap().runState, 'ran');
  t.is(system.countCalls(), 1);
  await system.stop();
});

// Guards against a client that is billed twice, the second time under another key: the run state of
// a refusal before the claim described only the repeat.
test('a repeat that is refused before its claim gets the run state of the first call', async (t) => {
  const system = await startTestServices();
  const repeatedCall = buildCall({}, 'req_2');
  const refuse = (): void => system.router.refuseNext();
  refuse();
  t.is((await system.call(buildCall()))._unsafeUnwrapErr().runState, 'not-run');
  await system.call(buildCall());
  refuse();
  t.is((await system.call(repeatedCall))._unsafeUnwrapErr().runState, 'ran');
  refuse();
  system.tableStore.setOutage('unavailable');
  t.is((await system.call(repeatedCall))._unsafeUnwrapErr().runState, 'unknown');
  await system.stop();
});
