// Guards against a read loop on an empty store: 195 VMs made 17,993 store calls in a simulated day
// of 50 s, most of them in the first second. The VMs start before the operator has written a row,
// and a store without rows was read again immediately for as long as it was empty.
import test from 'ava';
import { createRowsFleet } from '../../standins/rows';

const ZONES = ['z1', 'z2', 'z3', 'z4', 'z5', 'z6'];
const VMS = 195;
const JOINING_VMS = 48;
const BOUNDS = { changeMs: 4000, settleMs: 5000 };

/** Time from the start of the VMs to the first configuration, and to the end of the day. */
const EMPTY_MS = 600;
const DAY_MS = 50_000;
const CHANGE_EVERY_MS = 2500;
const JOIN_AT_MS = 20_000;

/** Calls that the store's price allows in a day of this fleet. */
const MAX_CALLS = 1830;

const listZones = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => ZONES[index % ZONES.length] ?? '');

test('a day of 195 VMs in six zones makes no more store calls than the price allows', async (t) => {
  t.timeout(120_000);
  const world = createRowsFleet({ seed: 1, bounds: BOUNDS, zones: listZones(VMS) });
  const { clock, store } = world;
  await clock.advanceAsync(EMPTY_MS);
  t.log(`${store.countCalls()} calls to the empty store`);
  for (let atMs = EMPTY_MS; atMs < DAY_MS; atMs += CHANGE_EVERY_MS) {
    store.writeRow('op', 'config', { version: atMs });
    store.writeRow('servers', `i-${atMs % 7}`, { state: 'ready' });
    if (atMs <= JOIN_AT_MS && JOIN_AT_MS < atMs + CHANGE_EVERY_MS) {
      listZones(JOINING_VMS).forEach((zone) => world.addVm(zone));
    }
    await clock.advanceAsync(CHANGE_EVERY_MS);
  }
  t.log(`${store.countCalls()} calls in total`);
  const behind = world.vms.filter((vm) => vm.readVersion('op') < store.readVersion() - 1);
  t.deepEqual(behind, []);
  t.true(store.countCalls() <= MAX_CALLS);
});
