import test from 'ava';
import { createRowsFleet, type RowsVm, type RowsFleet } from '../../../../standins/rows';

const BOUNDS = { changeMs: 4000, settleMs: 5000 };

/** One call each 0.15 s, and two VMs that follow the store. */
const MAX_ZONE_CALLS_PER_S = 10;

const buildWorld = (count: number, seed = 1): RowsFleet =>
  createRowsFleet({ seed, bounds: BOUNDS, zones: Array.from({ length: count }, () => 'z1') });

/** Starts VMs on a store with one row in each table, and lets them settle. */
const createSettledWorld = async (count: number): Promise<RowsFleet> => {
  const world = buildWorld(count);
  world.store.writeRow('op', 'config', { version: 1 });
  world.store.writeRow('servers', 's1', { version: 1 });
  await world.clock.advanceAsync(6000);
  return world;
};

const stopAll = ({ vms }: RowsFleet): void => vms.forEach((vm) => vm.kill());

const listReaders = ({ vms }: RowsFleet): RowsVm[] =>
  vms.filter((vm) => vm.isAlive() && vm.replication.isReader());

/** Counts the calls to the store within a number of seconds. */
const countCalls = async ({ clock, store }: RowsFleet, seconds: number): Promise<number> => {
  const before = store.countCalls();
  await clock.advanceAsync(seconds * 1000);
  return store.countCalls() - before;
};

// Guards against each VM polling by itself: 195 idle VMs made 10,140 calls in 50 s, 52 each.
test('a zone of thirty VMs calls the store as often as a zone of three', async (t) => {
  const few = await createSettledWorld(3);
  const many = await createSettledWorld(30);
  t.is(listReaders(many).length, 1);
  const [callsOfFew, callsOfMany] = [await countCalls(few, 30), await countCalls(many, 30)];
  t.log(`${callsOfFew} and ${callsOfMany} calls in 30 s`);
  t.true(callsOfMany <= callsOfFew + 3, `${callsOfMany} calls`);
  stopAll(few);
  stopAll(many);
});

test('a change reaches all VMs within 100 ms', async (t) => {
  const world = await createSettledWorld(30);
  world.store.writeRow('op', 'config', { version: 2 });
  await world.clock.advanceAsync(100);
  const version = world.store.readVersion();
  world.vms.forEach((vm) => t.is(vm.readVersion('op'), version));
  stopAll(world);
});

// Guards against connected VMs that keep using old rows: the reader of a zone and its successors
// end or stall silently, and the last received rows are taken for current.
test('a change is not delayed by readers that fail silently one after another', async (t) => {
  const world = await createSettledWorld(12);
  for (const how of ['kill', 'stopped', 'suspended'] as const) {
    const [reader] = listReaders(world);
    if (how === 'kill') reader?.kill();
    else reader?.clock.pause(how);
    await world.clock.advanceAsync(10);
    world.store.writeRow('op', 'config', { how });
    const version = world.store.readVersion();
    await world.clock.advanceAsync(BOUNDS.changeMs);
    const healthy = world.vms.filter((vm) => vm.isAlive() && vm !== reader);
    healthy.forEach((vm) => t.true(vm.readVersion('op') >= version, `${vm.name} after ${how}`));
    reader?.clock.resume();
    await world.clock.advanceAsync(10_000);
  }
  stopAll(world);
});

test('when the store refuses the reader, the reader and its followers use another VM', async (t) => {
  const world = await createSettledWorld(12);
  const [reader] = listReaders(world);
  reader?.store.setReachability('refused');
  await world.clock.advanceAsync(4000);
  const refusedBefore = reader?.store.countCalls() ?? 0;
  world.store.writeRow('servers', 's2', { version: 1 });
  await world.clock.advanceAsync(5000);
  const version = world.store.readVersion();
  world.vms.forEach((vm) => t.is(vm.readVersion('servers'), version, vm.name));
  t.true((reader?.store.countCalls() ?? 0) - refusedBefore <= 8);
  stopAll(world);
});

// Guards against two VMs that follow each other: the store refuses a third of the VMs, among them
// the reader of a zone. The reader follows the next VM by rank, which still follows the reader. A
// refused reader that did not report so once it followed another VM left the two waiting for each
// other until all rows of the zone were stale, again and again. The VMs that the store serves made
// 56 calls in 20 s in place of one reader's 18; 195 VMs made 15,000 calls, as if each polled
// itself.
test('a store that refuses a third of the VMs is not called by all others', async (t) => {
  const world = await createSettledWorld(30);
  const [reader] = listReaders(world);
  const refused = [reader, ...world.vms.filter((vm) => vm !== reader).slice(0, 9)];
  refused.forEach((vm) => vm?.store.setReachability('refused'));
  const served = world.vms.filter((vm) => !refused.includes(vm));
  const countServed = (): number => served.reduce((sum, vm) => sum + vm.store.countCalls(), 0);
  await world.clock.advanceAsync(3000);
  const before = countServed();
  await world.clock.advanceAsync(20_000);
  const calls = countServed() - before;
  t.log(`${calls} calls`);
  t.true(calls <= 30, `${calls} calls`);
  world.store.writeRow('servers', 's2', { version: 1 });
  await world.clock.advanceAsync(BOUNDS.changeMs);
  const version = world.store.readVersion();
  served.forEach((vm) => t.is(vm.readVersion('servers'), version, vm.name));
  stopAll(world);
});

// Guards against all VMs calling a store that is silent: 195 VMs made 400 calls a second.
test('the calls to a silent store do not grow with the number of VMs', async (t) => {
  const [few, many] = [await createSettledWorld(20), await createSettledWorld(60)];
  [few, many].forEach(({ store }) => store.setSilent(true));
  // Each VM makes one call when its rows become stale.
  await Promise.all([few, many].map(({ clock }) => clock.advanceAsync(5000)));
  const [callsOfFew, callsOfMany] = [await countCalls(few, 20), await countCalls(many, 20)];
  t.log(`${callsOfFew} and ${callsOfMany} calls in 20 s`);
  t.true(callsOfMany <= 1.2 * callsOfFew, `${callsOfMany} beside ${callsOfFew}`);
  t.true(callsOfMany <= 20 * MAX_ZONE_CALLS_PER_S, `${callsOfMany}`);
  [few, many].forEach(({ store }) => store.setSilent(false));
  const callsAfterReturn = [await countCalls(few, 3), await countCalls(many, 3)];
  t.log(`${callsAfterReturn.join(' and ')} calls in the 3 s after its return`);
  t.true((callsAfterReturn[1] ?? 0) <= 3 * MAX_ZONE_CALLS_PER_S, `${callsAfterReturn[1]} calls`);
  many.vms.forEach((vm) => t.true(vm.readVersion('op') > 0));
  stopAll(few);
  stopAll(many);
});
