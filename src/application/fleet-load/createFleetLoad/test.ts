import test from 'ava';
import { rankCollectors } from '../../../domain/fleet-load';
import { buildLoadPart, createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import { createSimulatedFleet } from '../../../../standins/model/createSimulatedFleet';
import type { FleetLoad } from '../types';

const NAMES = Array.from({ length: 6 }, (_, index) => `vm-${index}`);
const [COLLECTOR = '', OTHER = ''] = rankCollectors(
  ['vm-0', 'vm-3'].map((vm) => ({ vm, availabilityZone: 'z0', cores: 1 })),
  'z0',
).map(({ vm }) => vm);
const [FAR = ''] = NAMES.filter((vm) => vm !== 'vm-0' && vm !== 'vm-3');

/** Creates six VMs in three zones that each run one request all the time. */
const setUp = () => {
  const clock = createFakeClock();
  const cutOff = new Set<string>();
  const messages = new Set<string>();
  const changes: string[] = [];
  const mode = { isLate: false };
  const fleet = createSimulatedFleet({
    sources: NAMES.map(() => ({
      readRequests: () => new Map([['i', 1]]),
      isEnabled: (service) => service === 's',
    })),
    roundTripMs: 2,
    crossingMs: 1,
    cutOff,
    handleMessage: (from, to, deliver) => {
      messages.add(`${from} to ${to}`);
      if (mode.isLate) clock.startTimer(1700, deliver);
    },
    clock,
    randomness: { readFraction: () => 0.5 },
    log: { ...QUIET_LOG, info: (_, { collector = '' }) => changes.push(String(collector)) },
  });
  const find = (vm: string): FleetLoad => fleet.get(vm) as FleetLoad;
  return {
    clock,
    cutOff,
    messages,
    changes,
    mode,
    find,
    startAll: async () => {
      NAMES.forEach((vm) => find(vm).recordArrival('s'));
      // Until the average of the first views, which are partial, has settled.
      await clock.advanceAsync(15_000);
    },
    countOthers: (vm: string): number =>
      Math.round((find(vm).readLoad('s')?.otherRequests.get('i') ?? NaN) * 10) / 10,
  };
};

test('every VM knows the requests of all others, by one collector a zone', async (t) => {
  const { countOthers, find, messages, startAll } = setUp();
  await startAll();
  NAMES.forEach((vm) => t.is(countOthers(vm), 5));
  const { ageMs = Infinity, arrivalsPerS, crossingsMs } = find(OTHER).readLoad('s') ?? {};
  t.true(ageMs < 1100);
  t.is(arrivalsPerS?.size, 3);
  t.deepEqual(crossingsMs, new Map([['z1', 1], ['z2', 1]])); // prettier-ignore
  t.is(messages.size, 9);
});

test('a VM without requests of enabled services sends nothing and runs no timer', (t) => {
  const { clock, find } = setUp();
  find(OTHER).recordArrival('other');
  t.is(clock.countTimers(), 0);
});

// Guards against a sum in which a part counts twice, or an older one replaces a newer one.
test('parts that arrive twice or late change nothing', async (t) => {
  const { countOthers, mode, startAll } = setUp();
  mode.isLate = true;
  await startAll();
  NAMES.forEach((vm) => t.is(countOthers(vm), 5));
});

// Guards against a view without the VMs whose messages are lost now and then.
test('a lost part leaves the one before it in the sum', async (t) => {
  const { clock, countOthers, cutOff, startAll } = setUp();
  await startAll();
  cutOff.add(OTHER);
  await clock.advanceAsync(700);
  t.is(countOthers(COLLECTOR), 5);
});

// Guards against requests of a VM that ended, which would keep others away from a server.
test('the requests of a VM that ends drop out', async (t) => {
  const { clock, countOthers, find, startAll } = setUp();
  await startAll();
  find(OTHER).stop();
  await clock.advanceAsync(12_000);
  t.is(countOthers(COLLECTOR), 4);
});

// Guards against a zone whose load nobody knows, as its collector has ended or is cut off.
test('when the collector does not answer, the next one collects until it does', async (t) => {
  const { changes, clock, countOthers, cutOff, startAll } = setUp();
  await startAll();
  changes.length = 0;
  cutOff.add(COLLECTOR);
  await clock.advanceAsync(1200);
  t.true(changes.includes(OTHER));
  await clock.advanceAsync(12_000);
  [OTHER, FAR].forEach((vm) => t.is(countOthers(vm), 4));
  cutOff.delete(COLLECTOR);
  await clock.advanceAsync(15_000);
  [OTHER, FAR].forEach((vm) => t.is(countOthers(vm), 5));
});

// Guards against requests that count twice, or not at all, while two VMs collect for a zone.
test('two collectors of a zone for a moment leave the number of requests', async (t) => {
  const { clock, countOthers, find, startAll } = setUp();
  await startAll();
  const part = { vm: COLLECTOR, incarnation: clock.readWallMs(), availabilityZone: 'z0' };
  find(OTHER).handleReport(buildLoadPart({ i: 1 }, part));
  await clock.advanceAsync(1500);
  NAMES.forEach((vm) => t.is(countOthers(vm), 5));
});

// Guards against choices by a view that is no longer true.
test('a view that is older than 2 s is unknown', async (t) => {
  const { clock, countOthers, find, startAll } = setUp();
  await startAll();
  find(OTHER).stop();
  await clock.advanceAsync(900);
  t.is(countOthers(OTHER), 5);
  await clock.advanceAsync(1200);
  t.is(countOthers(OTHER), NaN);
  t.is(find(OTHER).listLoads().size, 0);
});
