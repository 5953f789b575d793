import test from 'ava';
import { rankCollectors, type LoadPart } from '../../../domain/fleet-load';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import type { FleetLoad } from '../types';
import { createFleetLoad } from '.';

const VMS = ['z1', 'z1', 'z1', 'z2', 'z2'].map((availabilityZone, index) => ({
  vm: `vm-${index}`,
  address: `vm-${index}`,
  availabilityZone,
  cores: 1,
}));
const [COLLECTOR = '', SECOND = '', THIRD = ''] = rankCollectors(VMS, 'z1').map(({ vm }) => vm);
const [OTHER_COLLECTOR = '', OTHER = ''] = rankCollectors(VMS, 'z2').map(({ vm }) => vm);

/** Creates VMs that each run one request; messages from and to those cut off are lost. */
const setUp = () => {
  const clock = createFakeClock();
  const cutOff = new Set<string>();
  const messages: string[] = [];
  const changes: string[] = [];
  const fleet = new Map<string, FleetLoad>();
  let sendLate = (deliver: () => void): void => deliver();
  const ask = async <Answer>(from: string, to: string, read: (peer: FleetLoad) => Answer) => {
    messages.push(`${from} to ${to}`);
    const peer = fleet.get(to);
    return cutOff.has(from) || cutOff.has(to) || !peer ? null : read(peer);
  };
  VMS.forEach((self) => {
    fleet.set(
      self.vm,
      createFleetLoad({
        self,
        listPeers: () => VMS,
        calls: {
          reportLoad: (to, part) =>
            ask(self.vm, to, (peer) => {
              sendLate(() => peer.handleReport(part));
              return peer.handleReport(part);
            }),
          exchangeLoad: (to, zone) =>
            ask(self.vm, to, (peer) => ({ zone: peer.handleExchange(zone) })),
        },
        readRequests: (service) => new Map(service === 's' ? [['i', 1]] : []),
        isEnabled: (service) => service === 's',
        clock,
        randomness: { readFraction: () => 0.5 },
        log: {
          ...QUIET_LOG,
          info: (message, { collector = '' }) => {
            if (message === 'load collector changed') changes.push(`${self.vm}: ${collector}`);
          },
        },
      }),
    );
  });
  const find = (vm: string): FleetLoad => fleet.get(vm) as FleetLoad;
  return {
    clock,
    cutOff,
    messages,
    changes,
    find,
    setLateDelivery: (deliver: typeof sendLate): void => {
      sendLate = deliver;
    },
    startAll: () => VMS.forEach(({ vm }) => find(vm).recordArrival('s')),
    countOthers: (vm: string) => find(vm).readLoad('s')?.otherRequests.get('i') ?? null,
  };
};

test('every VM knows the requests of all others, and the demand of each zone', async (t) => {
  const { clock, countOthers, find, startAll } = setUp();
  startAll();
  await clock.advanceAsync(8000);
  VMS.forEach(({ vm }) => t.true(Math.abs((countOthers(vm) ?? 0) - 4) < 0.1));
  startAll();
  await clock.advanceAsync(500);
  const { ageMs = Infinity, arrivalsPerS } = find(THIRD).readLoad('s') ?? {};
  t.true(ageMs < 1100);
  t.deepEqual([...(arrivalsPerS?.keys() ?? [])].sort(), ['z1', 'z2']);
  t.is(find(THIRD).readLoad('other'), null);
});

test('a VM without requests of enabled services sends nothing and runs no timer', async (t) => {
  const { clock, find, messages } = setUp();
  find(THIRD).recordArrival('other');
  t.is(clock.countTimers(), 0);
  await clock.advanceAsync(3000);
  t.deepEqual(messages, []);
});

// Guards against a sum in which a part counts twice, or an older one replaces a newer one.
test('parts that arrive twice or late change nothing', async (t) => {
  const { clock, countOthers, setLateDelivery, startAll } = setUp();
  setLateDelivery((deliver) => clock.startTimer(1700, deliver));
  startAll();
  await clock.advanceAsync(10_000);
  VMS.forEach(({ vm }) => t.true(Math.abs((countOthers(vm) ?? 0) - 4) < 0.1));
});

// Guards against a view without the VMs whose messages are lost now and then.
test('a lost part leaves the one before it in the sum', async (t) => {
  const { clock, countOthers, cutOff, startAll } = setUp();
  startAll();
  await clock.advanceAsync(8000);
  cutOff.add(THIRD);
  await clock.advanceAsync(700);
  cutOff.delete(THIRD);
  t.true((countOthers(SECOND) ?? 0) > 3.9);
});

// Guards against requests of a VM that ended, which would keep others away from a server.
test('the requests of a VM that ends drop out', async (t) => {
  const { clock, countOthers, cutOff, find, startAll } = setUp();
  startAll();
  await clock.advanceAsync(8000);
  cutOff.add(THIRD);
  find(THIRD).stop();
  await clock.advanceAsync(10_000);
  t.true(Math.abs((countOthers(SECOND) ?? 0) - 3) < 0.1);
});

// Guards against a zone whose load nobody knows, as its collector has ended or is cut off.
test('when the collector does not answer, the next one by rank collects, and then the first again', async (t) => {
  const { changes, clock, countOthers, cutOff, startAll } = setUp();
  startAll();
  await clock.advanceAsync(8000);
  changes.length = 0;
  cutOff.add(COLLECTOR);
  await clock.advanceAsync(1200);
  t.true(changes.includes(`${THIRD}: ${SECOND}`));
  t.true((countOthers(THIRD) ?? 0) > 2);
  await clock.advanceAsync(10_000);
  t.true(Math.abs((countOthers(THIRD) ?? 0) - 3) < 0.3);
  t.true(Math.abs((countOthers(OTHER) ?? 0) - 3) < 0.3);
  cutOff.delete(COLLECTOR);
  await clock.advanceAsync(15_000);
  [THIRD, OTHER].forEach((vm) => t.true(Math.abs((countOthers(vm) ?? 0) - 4) < 0.1));
});

// Guards against requests that count twice, or not at all, while two VMs collect for a zone.
test('two collectors of a zone for a moment leave the number of requests', async (t) => {
  const { clock, countOthers, find, startAll } = setUp();
  startAll();
  await clock.advanceAsync(8000);
  const part: LoadPart = {
    vm: THIRD,
    incarnation: clock.readWallMs(),
    sequence: 1,
    availabilityZone: 'z1',
    vms: 1,
    ageMs: 0,
    roundTripMs: null,
    omittedServers: 0,
    services: [{ service: 's', arrivalsPerS: 1, requestsByServer: new Map([['i', 1]]) }],
  };
  find(SECOND).handleReport(part);
  await clock.advanceAsync(1500);
  VMS.forEach(({ vm }) => t.true(Math.abs((countOthers(vm) ?? 0) - 4) < 0.1));
});

// Guards against choices by a view that is no longer true.
test('a view that is older than 2 s is unknown', async (t) => {
  const { clock, countOthers, cutOff, find, startAll } = setUp();
  startAll();
  await clock.advanceAsync(3000);
  VMS.forEach(({ vm }) => cutOff.add(vm));
  find(THIRD).stop();
  await clock.advanceAsync(1000);
  t.not(countOthers(THIRD), null);
  await clock.advanceAsync(1100);
  t.is(countOthers(THIRD), null);
  t.deepEqual(find(THIRD).listLoads(), new Map());
});

test('one VM of each zone exchanges the sums, and the others report to it', async (t) => {
  const { clock, messages, startAll } = setUp();
  startAll();
  await clock.advanceAsync(3000);
  t.deepEqual(
    [...new Set(messages)].sort(),
    [
      `${COLLECTOR} to ${OTHER_COLLECTOR}`,
      `${OTHER_COLLECTOR} to ${COLLECTOR}`,
      `${OTHER} to ${OTHER_COLLECTOR}`,
      `${SECOND} to ${COLLECTOR}`,
      `${THIRD} to ${COLLECTOR}`,
    ].sort(),
  );
});
