import test from 'ava';
import type { EngineTarget, LoadedModel } from '../../src/domain/types';
import { createTestKeepers } from './_lib/createTestKeepers';
import type { TestKeepers } from './_lib/createTestKeepers';

const NAMES = ['e-1', 'e-2', 'e-3', 'e-4'];
const V1: LoadedModel = { model: 'review', version: '1', adapter: '' };
const V2: LoadedModel = { model: 'review', version: '2', adapter: '' };

const buildTargets = (names: readonly string[], models: readonly LoadedModel[]): EngineTarget[] =>
  names.map((backendServer) => ({ backendServer, models, role: 'serve' }));

const startTestKeepers = async (
  options: { readonly checksFencing?: boolean; readonly maxLoads?: number } = {},
): Promise<TestKeepers> => {
  const { checksFencing = true, maxLoads = 4 } = options;
  const system = createTestKeepers({ engineNames: NAMES, models: [V1], checksFencing, maxLoads });
  system.applyTargets(buildTargets(NAMES, [V1]));
  system.keepers[0].start();
  await system.advance(1_000);
  system.keepers[1].start();
  await system.advance(10_000);
  return system;
};

const listVersions = ({ engines }: TestKeepers) =>
  engines.map((engine) =>
    engine
      .listModels()
      .map(({ version }) => version)
      .join('+'),
  );

test('a new version is loaded beside the old one, within the limit on concurrent loads', async (t) => {
  // Guards against a model that no engine serves while all load its new version: an order unloads
  // the old version before the new one serves, or more engines load at once than the weight store
  // allows.
  const system = await startTestKeepers({ maxLoads: 2 });
  t.is(system.engines.flatMap(({ acceptedOrders }) => acceptedOrders).length, 0);
  system.applyTargets(buildTargets(NAMES, [V2]));
  let maxLoading = 0;
  await system.advance(30_000, () => {
    const loading = system.engines.reduce((sum, engine) => sum + engine.countLoading(), 0);
    maxLoading = Math.max(maxLoading, loading);
    if (system.engines.some((engine) => engine.listModels().length === 0))
      t.fail('an engine serves no model');
  });
  t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
  t.is(maxLoading, 2);
  const orderCounts = system.engines.map(({ acceptedOrders }) => acceptedOrders.length);
  t.deepEqual(orderCounts, [2, 2, 2, 2]);
});

test('a moved replica is unloaded only after its replacement serves', async (t) => {
  const system = await startTestKeepers();
  const other = { model: 'draft', version: '1', adapter: '' };
  system.engines[3]!.faults.down = true;
  system.applyTargets([
    ...buildTargets(['e-1', 'e-2', 'e-3'], [other]),
    ...buildTargets(['e-4'], [V1]),
  ]);
  await system.advance(20_000);
  t.deepEqual(listVersions(system).slice(0, 3), ['1+1', '1+1', '1+1']);
  const waiting = system.keepers[0].keeper.readPlan()?.waiting.map(({ reason }) => reason) ?? [];
  t.true(waiting.includes('the replacement does not serve yet'));
  system.engines[3]!.faults.down = false;
  await system.advance(40_000);
  t.deepEqual(system.engines[0]!.listModels(), [other]);
});

test('an engine that can hold only one version unloads the old one before it loads the new one', async (t) => {
  const system = await startTestKeepers();
  system.engines[0]!.faults.maxModels = 1;
  system.applyTargets(buildTargets(NAMES, [V2]));
  await system.advance(330_000);
  t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
});

test('an order with a lost response has the same result; a refused order is retried after the wait', async (t) => {
  const system = await startTestKeepers();
  system.engines[0]!.faults.loseNextResponse = true;
  system.engines[1]!.faults.retryAfterMs = 9_000;
  system.applyTargets(buildTargets(NAMES, [V2]));
  await system.advance(8_000);
  t.is(system.engines[1]!.acceptedOrders.length, 0);
  system.engines[1]!.faults.retryAfterMs = 0;
  await system.advance(40_000);
  t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
  t.is(system.engines[0]!.acceptedOrders.length, 2);
});

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'check' : 'ignore';
  test(`a keeper paused past its lease sends no order to engines that ${kind} fencing tokens`, async (t) => {
    // Guards against an engine that loads an old version again: a keeper that was paused between
    // two orders acts on an expired lease. If engines ignore fencing tokens, only the keeper's own
    // clock can stop it.
    const system = await startTestKeepers({ checksFencing });
    const [first, second] = system.keepers;
    const release = system.delayNextResponse();
    system.applyTargets(buildTargets(NAMES, [V2]));
    await system.advance(500);
    first.clock.pause();
    await system.advance(60_000);
    t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
    const countOrders = () => system.engines.map(({ acceptedOrders }) => acceptedOrders.length);
    const ordersBefore = countOrders();
    second.clock.pause();
    system.table.setOutage('unavailable');
    first.clock.resume();
    release();
    system.applyTargets(buildTargets(NAMES, [V1]));
    await system.advance(15_000);
    t.deepEqual(countOrders(), ordersBefore);
    system.table.setOutage('none');
    await system.advance(60_000);
    t.deepEqual(listVersions(system), ['1', '1', '1', '1']);
    system.engines.forEach((engine) => {
      const tokens = engine.acceptedOrders.map(({ fencingToken }) => fencingToken);
      t.deepEqual(
        tokens,
        [...tokens].sort((left, right) => left - right),
      );
    });
  });
}

test('only the lease holder of two keepers sends orders; when it stops, the other takes over', async (t) => {
  const system = await startTestKeepers();
  const [first, second] = system.keepers;
  t.not(first.keeper.readPlan(), null);
  t.is(second.keeper.readPlan(), null);
  await first.keeper.stop();
  await first.lease.stop();
  system.applyTargets(buildTargets(NAMES, [V2]));
  await system.advance(20_000);
  t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
});

test('an engine that returns to its old models gets a new order', async (t) => {
  const system = await startTestKeepers();
  system.applyTargets(buildTargets(NAMES, [V2]));
  await system.advance(20_000);
  system.engines[2]!.handleOrder({
    backendServer: 'e-3',
    fencingToken: 99,
    models: [V1],
    role: 'serve',
  });
  t.deepEqual(system.engines[2]!.listModels(), []);
  await system.advance(30_000);
  t.deepEqual(listVersions(system), ['2', '2', '2', '2']);
});
