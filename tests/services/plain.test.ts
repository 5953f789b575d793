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

const startBench = async () => {
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

test('a call that may run once runs, and its repeat is told that it ran', async (t) => {
  const bench = await startBench();
  const first = (await bench.call(buildCall()))._unsafeUnwrap();
  t.deepEqual([first.status, first.runState], [200, 'ran']);
  const repeat = (await bench.call(buildCall({}, 'req_2')))._unsafeUnwrapErr();
  t.like(repeat, { code: 'already_ran', status: 409, runState: 'ran', retryAfterMs: 0 });
  const other = { ...buildCall().call, body: Buffer.from('99') };
  const reused = (await bench.call(buildCall({ call: other })))._unsafeUnwrapErr();
  t.like(reused, { code: 'idempotency_key_reused', status: 422, runState: 'not-run' });
  t.is(bench.countCalls(), 1);
  t.deepEqual(bench.router.outcomes, ['finished', 'not-started', 'not-started']);
  await bench.stop();
});

// Symptom: a client is billed twice.
// Sequence: the service bills, its connection breaks before the answer, the call goes elsewhere.
// Cause: a broken connection was taken for a call that did not run.
test('a call that may run once is not sent again when its answer is lost', async (t) => {
  const bench = await startBench();
  bench.first.addFault('drop-answer', 1);
  const lost = (await bench.call(buildCall()))._unsafeUnwrapErr();
  t.like(lost, { code: 'backend_failed', runState: 'unknown', retryAfterMs: 0 });
  const repeat = (await bench.call(buildCall({}, 'req_2')))._unsafeUnwrapErr();
  t.like(repeat, { code: 'claim_taken', status: 409, runState: 'unknown' });
  t.is(bench.countCalls(), 1);
  await bench.stop();
});

// Symptom: a caller is told `not-run`, repeats, and is told `unknown` although nothing ran.
// Sequence: no server takes the connection; the claim stays; the repeat finds it.
// Cause: the claim of a call that was surely not sent was not given up.
test('a call that no server took was not run, and its repeat runs', async (t) => {
  const bench = await startBench();
  await bench.first.kill();
  await bench.second.kill();
  const refused = (await bench.call(buildCall()))._unsafeUnwrapErr();
  t.is(refused.runState, 'not-run');
  t.is(bench.router.demands.length, 3);
  await bench.second.restart();
  const repeat = (await bench.call(buildCall({}, 'req_2')))._unsafeUnwrap();
  t.is(repeat.runState, 'ran');
  t.is(bench.countCalls(), 1);
  await bench.stop();
});

test('with the store down a call that may run once is refused, a lookup is not', async (t) => {
  const bench = await startBench();
  bench.tableStore.setOutage('unavailable');
  const refused = (await bench.call(buildCall()))._unsafeUnwrapErr();
  t.like(refused, { code: 'store_unavailable', status: 503, runState: 'not-run' });
  t.true(refused.retryAfterMs > 0);
  const lookup = buildCall({ service: findService('status') });
  t.is((await bench.call(lookup))._unsafeUnwrap().runState, 'ran');
  t.is(bench.countCalls(), 1);
  await bench.stop();
});

test('a lookup goes elsewhere when its answer is lost; one without a key does not', async (t) => {
  const bench = await startBench();
  bench.first.addFault('drop-answer', 2);
  const keyed = buildCall({ service: findService('status') });
  t.is((await bench.call(keyed))._unsafeUnwrap().runState, 'ran');
  t.deepEqual(bench.router.demands[1]?.excludedServers, ['one']);
  t.is(bench.router.demands[1]?.purpose, 'resume');
  const unkeyed = buildCall({ service: findService('status'), idempotencyKey: '' });
  t.is((await bench.call(unkeyed))._unsafeUnwrapErr().runState, 'unknown');
  t.is(bench.countCalls(), 3);
  await bench.stop();
});

test('a call past its deadline is answered at once, and may have run', async (t) => {
  const bench = await startBench();
  bench.first.addFault('delay', 1);
  const pending = bench.call(buildCall());
  await bench.first.waitForCalls(1);
  bench.clock.advance(5000);
  t.like((await pending)._unsafeUnwrapErr(), { code: 'timeout', status: 504, runState: 'unknown' });
  await bench.stop();
});

test('a late lookup goes to a second server too; the first answer counts, once', async (t) => {
  const bench = await startBench();
  bench.first.addFault('delay', 1);
  const service = { ...findService('status'), workClass: 'lookup' as const };
  const pending = bench.call(buildCall({ service }));
  await bench.first.waitForCalls(1);
  bench.clock.advance(50);
  t.is((await pending)._unsafeUnwrap().runState, 'ran');
  t.deepEqual(
    bench.router.demands.map(({ purpose }) => purpose),
    ['start', 'hedge'],
  );
  await bench.stop();
});

test('work that may run once is never hedged, however late', async (t) => {
  const bench = await startBench();
  bench.first.addFault('delay', 1);
  const pending = bench.call(buildCall());
  await bench.first.waitForCalls(1);
  bench.clock.advance(4000);
  bench.first.releaseAnswers();
  t.is((await pending)._unsafeUnwrap().runState, 'ran');
  t.is(bench.countCalls(), 1);
  await bench.stop();
});

// Symptom: a client is billed twice, the second time under another key.
// Sequence: the call runs; its repeat finds no server and is told `not-run`.
// Cause: a refusal before the claim spoke of the repeat only.
test('a repeat that is refused before its claim is told what became of the first', async (t) => {
  const bench = await startBench();
  const twice = buildCall({}, 'req_2');
  const refuse = (): void => bench.router.refuseNext();
  refuse();
  t.is((await bench.call(buildCall()))._unsafeUnwrapErr().runState, 'not-run');
  await bench.call(buildCall());
  refuse();
  t.is((await bench.call(twice))._unsafeUnwrapErr().runState, 'ran');
  refuse();
  bench.tableStore.setOutage('unavailable');
  t.is((await bench.call(twice))._unsafeUnwrapErr().runState, 'unknown');
  await bench.stop();
});
