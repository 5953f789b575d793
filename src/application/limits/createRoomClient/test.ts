import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { createRoomOwner, type RoomOwner } from '../createRoomOwner';
import { createRoomClient, type RoomClient } from '.';

const SLOTS = 2;
const TIMES = { leftMs: 10_000, waitMs: 0 };

/** VMs that reach each other unless a test says otherwise. */
const setUp = (count: number, maxRejectionsPerS: number | null = 4) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(7);
  const names = Array.from({ length: count }, (_, index) => `vm-${index}`);
  const silent = new Set<string>();
  const owners = new Map<string, RoomOwner>();
  const clients = new Map<string, RoomClient>();
  let questions = 0;
  names.forEach((vm) => {
    const owner = createRoomOwner({ clock, randomness });
    owners.set(vm, owner);
    const client = createRoomClient({
      self: { vm, availabilityZone: 'z1' },
      listPeers: () =>
        names
          .filter((name) => name !== vm)
          .map((name) => ({ vm: name, address: name, availabilityZone: 'z1' })),
      askPeer: async (address, request) => {
        questions += 1;
        const decision = await owners.get(address)?.handleRoomRequest(request);
        // A silent owner takes the question, but its answer is lost.
        return silent.has(address) ? null : (decision ?? null);
      },
      releaseAtPeer: async (address, release) => {
        if (silent.has(address)) return false;
        owners.get(address)?.releaseRoom(release);
        return true;
      },
      owner,
      limits: { readMaxRejectionsPerS: () => maxRejectionsPerS },
      readServer: () => ({ slots: SLOTS, running: 0 }),
      clock,
      randomness,
      log: QUIET_LOG,
    });
    clients.set(vm, client);
  });
  const acquire = async (vm: string) => {
    const room = await clients.get(vm)?.acquireRoom('i-1', TIMES);
    return typeof room === 'object' ? room : null;
  };
  return { acquire, clock, names, silent, countQuestions: () => questions };
};

test('a server that is not brittle has room for all, without a question', async (t) => {
  const { acquire, countQuestions } = setUp(3, null);
  for (let request = 0; request < 10; request += 1) t.truthy(await acquire('vm-0'));
  t.is(countQuestions(), 0);
});

test('all VMs together get the slots of a brittle server, and get them back', async (t) => {
  const { acquire, names } = setUp(9);
  const rooms = [];
  for (const vm of names) rooms.push(await acquire(vm));
  const held = rooms.filter((room) => room !== null);
  t.is(held.length, SLOTS);
  held.forEach((room) => room.release({ isRejected: false }));
  t.truthy(await acquire('vm-8'));
});

test('room that is released twice is given back once', async (t) => {
  const { acquire } = setUp(3);
  const first = await acquire('vm-0');
  await acquire('vm-1');
  first?.release({ isRejected: false });
  first?.release({ isRejected: false });
  t.truthy(await acquire('vm-2'));
  t.is(await acquire('vm-2'), null);
});

// Guards against slots that stay unused as the answer of an owner was lost.
test('an owner whose answer was lost gets the room back once it responds', async (t) => {
  const { acquire, clock, names, silent } = setUp(3);
  names.forEach((vm) => silent.add(vm));
  await acquire('vm-0');
  await acquire('vm-0');
  silent.clear();
  await clock.advanceAsync(2500);
  const rooms = [await acquire('vm-1'), await acquire('vm-2')];
  t.is(rooms.filter((room) => room !== null).length, SLOTS);
});

test('a VM that reaches no other one uses less than its even share of the slots', async (t) => {
  const { acquire, names, silent } = setUp(3);
  names.forEach((vm) => silent.add(vm));
  t.is(await acquire('vm-0'), null);
});
