// Symptom: 195 VMs make 17,993 calls to the store in a day of 50 s, most of them in its first second.
// Sequence: the VMs start before the operator has written anything; the store is empty and answers.
// Cause: a store without any row is read anew at once, for as long as it has none.
import test from 'ava';
import { createRowsFleet } from '../../standins/rows';

const ZONES = ['z1', 'z2', 'z3', 'z4', 'z5', 'z6'];
const VMS = 195;
const JOINING = 48;
const BOUNDS = { changeMs: 4000, settleMs: 5000 };

/** From the start of the VMs to the first configuration, and to the end of the day. */
const EMPTY_MS = 600;
const DAY_MS = 50_000;
const CHANGE_EVERY_MS = 2500;
const JOIN_AT_MS = 20_000;

/** What the store's price allows for a whole day of such a fleet. */
const MAX_CALLS = 1830;

const listZones = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => ZONES[index % ZONES.length] ?? '');

test('a day of 195 VMs in six zones makes no more calls to the store than its price allows', async (t) => {
  t.timeout(120_000);
  const world = createRowsFleet({ seed: 1, bounds: BOUNDS, zones: listZones(VMS) });
  const { clock, store } = world;
  await clock.advanceAsync(EMPTY_MS);
  t.log(`${store.countCalls()} calls to the empty store`);
  for (let atMs = EMPTY_MS; atMs < DAY_MS; atMs += CHANGE_EVERY_MS) {
    store.writeRow('op', 'config', { version: atMs });
    store.writeRow('servers', `i-${atMs % 7}`, { state: 'ready' });
    if (atMs <= JOIN_AT_MS && JOIN_AT_MS < atMs + CHANGE_EVERY_MS) {
      listZones(JOINING).forEach((zone) => world.addVm(zone));
    }
    await clock.advanceAsync(CHANGE_EVERY_MS);
  }
  t.log(`${store.countCalls()} calls in all`);
  const late = world.vms.filter((vm) => vm.readVersion('op') < store.readVersion() - 1);
  t.deepEqual(late, []);
  t.true(store.countCalls() <= MAX_CALLS);
});
