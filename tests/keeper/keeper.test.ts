import test from 'ava';
import type { EngineTarget, LoadedModel } from '../../src/domain/types';
import { createTestKeepers } from './_lib/createTestKeepers';
import type { TestKeepers } from './_lib/createTestKeepers';

const NAMES = ['e-1', 'e-2', 'e-3', 'e-4'];
const V1: LoadedModel = { model: 'review', version: '1', adapter: '' };
const V2: LoadedModel = { model: 'review', version: '2', adapter: '' };

const buildTargets = (names: readonly string[], models: readonly LoadedModel[]): EngineTarget[] =>
  names.map((backendServer) => ({ backendServer, models, role: 'serve' }));

const startRig = async (
  options: { readonly checksFencing?: boolean; readonly maxLoads?: number } = {},
): Promise<TestKeepers> => {
  const { checksFencing = true, maxLoads = 4 } = options;
  const rig = createTestKeepers({ engineNames: NAMES, models: [V1], checksFencing, maxLoads });
  rig.applyTargets(buildTargets(NAMES, [V1]));
  rig.keepers[0].start();
  await rig.advance(1_000);
  rig.keepers[1].start();
  await rig.advance(10_000);
  return rig;
};

const listHeld = ({ engines }: TestKeepers) =>
  engines.map((engine) =>
    engine
      .listModels()
      .map(({ version }) => version)
      .join('+'),
  );

test('a new version is loaded beside the old one, within the limit of loads', async (t) => {
  // Symptom: no engine serves the model while all of them load the new version.
  // Events: the target of all engines changes at once. Cause: an order that drops the old version
  // before the new one serves, or more loads than the weight store allows.
  const rig = await startRig({ maxLoads: 2 });
  t.is(rig.engines.flatMap(({ acceptedOrders }) => acceptedOrders).length, 0);
  rig.applyTargets(buildTargets(NAMES, [V2]));
  let mostLoading = 0;
  await rig.advance(30_000, () => {
    const loading = rig.engines.reduce((sum, engine) => sum + engine.countLoading(), 0);
    mostLoading = Math.max(mostLoading, loading);
    if (rig.engines.some((engine) => engine.listModels().length === 0)) t.fail('serves nothing');
  });
  t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
  t.is(mostLoading, 2);
  const repeats = rig.engines.map(({ acceptedOrders }) => acceptedOrders.length);
  t.deepEqual(repeats, [2, 2, 2, 2]);
});

test('a replica that moves is unloaded only after the new one serves', async (t) => {
  const rig = await startRig();
  const other = { model: 'draft', version: '1', adapter: '' };
  rig.engines[3]!.faults.down = true;
  rig.applyTargets([
    ...buildTargets(['e-1', 'e-2', 'e-3'], [other]),
    ...buildTargets(['e-4'], [V1]),
  ]);
  await rig.advance(20_000);
  t.deepEqual(listHeld(rig).slice(0, 3), ['1+1', '1+1', '1+1']);
  const waiting = rig.keepers[0].keeper.readPlan()?.waiting.map(({ reason }) => reason) ?? [];
  t.true(waiting.includes('the replacement does not serve yet'));
  rig.engines[3]!.faults.down = false;
  await rig.advance(40_000);
  t.deepEqual(rig.engines[0]!.listModels(), [other]);
});

test('an engine without room for two versions gets the new one in its place', async (t) => {
  const rig = await startRig();
  rig.engines[0]!.faults.maxModels = 1;
  rig.applyTargets(buildTargets(NAMES, [V2]));
  await rig.advance(330_000);
  t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
});

test('a lost answer to an order changes nothing; a refused one is sent after the wait', async (t) => {
  const rig = await startRig();
  rig.engines[0]!.faults.loseNextResponse = true;
  rig.engines[1]!.faults.retryAfterMs = 9_000;
  rig.applyTargets(buildTargets(NAMES, [V2]));
  await rig.advance(8_000);
  t.is(rig.engines[1]!.acceptedOrders.length, 0);
  rig.engines[1]!.faults.retryAfterMs = 0;
  await rig.advance(40_000);
  t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
  t.is(rig.engines[0]!.acceptedOrders.length, 2);
});

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? 'check' : 'ignore';
  test(`a keeper paused past its lease sends no order to engines that ${kind} it`, async (t) => {
    // Symptom: an engine loads an old version again. Events: the keeper is paused between two
    // orders; another takes over; the first goes on with its plan, and can't reach the table.
    // Cause: it acts on a lease that has lapsed; nothing but its own clock stops it where engines
    // ignore fencing tokens.
    const rig = await startRig({ checksFencing });
    const [first, second] = rig.keepers;
    const release = rig.delayNextResponse();
    rig.applyTargets(buildTargets(NAMES, [V2]));
    await rig.advance(500);
    first.clock.pause();
    await rig.advance(60_000);
    t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
    const countTaken = () => rig.engines.map(({ acceptedOrders }) => acceptedOrders.length);
    const taken = countTaken();
    second.clock.pause();
    rig.table.setOutage('unavailable');
    first.clock.resume();
    release();
    rig.applyTargets(buildTargets(NAMES, [V1]));
    await rig.advance(15_000);
    t.deepEqual(countTaken(), taken);
    rig.table.setOutage('none');
    await rig.advance(60_000);
    t.deepEqual(listHeld(rig), ['1', '1', '1', '1']);
    rig.engines.forEach((engine) => {
      const tokens = engine.acceptedOrders.map(({ fencingToken }) => fencingToken);
      t.deepEqual(
        tokens,
        [...tokens].sort((left, right) => left - right),
      );
    });
  });
}

test('two keepers: only the holder orders, and it hands over when it stops', async (t) => {
  const rig = await startRig();
  const [first, second] = rig.keepers;
  t.not(first.keeper.readPlan(), null);
  t.is(second.keeper.readPlan(), null);
  await first.keeper.stop();
  await first.lease.stop();
  rig.applyTargets(buildTargets(NAMES, [V2]));
  await rig.advance(20_000);
  t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
});

test('an engine that restarts with its old models is ordered again', async (t) => {
  const rig = await startRig();
  rig.applyTargets(buildTargets(NAMES, [V2]));
  await rig.advance(20_000);
  rig.engines[2]!.handleOrder({
    backendServer: 'e-3',
    fencingToken: 99,
    models: [V1],
    role: 'serve',
  });
  t.deepEqual(rig.engines[2]!.listModels(), []);
  await rig.advance(30_000);
  t.deepEqual(listHeld(rig), ['2', '2', '2', '2']);
});
