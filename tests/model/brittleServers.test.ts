// Guards against brittle servers that fall over, or stay idle, as many VMs share their room.
import test from 'ava';
import { simulateRooms, type RoomSimulation } from '../../standins/limits';

const MODEL: RoomSimulation = {
  vms: 9,
  servers: 3,
  slots: 4,
  serviceMs: 60,
  maxRejectionsPerS: 3,
  overload: 2,
  durationMs: 6000,
  seed: 1,
};

const MAX_FALLS = 2 + MODEL.servers / 10;

/** Smallest part of the servers' room that is used while callers ask for twice as much. */
const MIN_USED_SHARE = 0.5;

[9, 82, 195].forEach((vms) =>
  [1, 2, 3].forEach((seed) =>
    test(`${vms} VMs under twice the load use the room of brittle servers, seed ${seed}`, async (t) => {
      const result = await simulateRooms({ ...MODEL, vms, seed });
      t.log(result);
      t.true(result.falls <= MAX_FALLS);
      t.true(result.usedShare >= MIN_USED_SHARE);
    }),
  ),
);

test('brittle servers fall over often if VMs do not ask for room', async (t) => {
  const result = await simulateRooms({ ...MODEL, asksForRoom: false });
  t.true(result.falls > MAX_FALLS);
});

[1, 2, 3].forEach((seed) =>
  test(`brittle servers do not fall over while owners of their room restart, seed ${seed}`, async (t) => {
    const restartsAtMs = Array.from({ length: 18 }, (_, index) => 1000 + index * 200);
    const result = await simulateRooms({ ...MODEL, seed, restartsAtMs });
    t.log(result);
    t.true(result.falls <= MAX_FALLS);
    t.true(result.usedShare >= MIN_USED_SHARE);
  }),
);

[1, 2, 3].forEach((seed) =>
  test(`brittle servers do not fall over while a third of the VMs reach no other, seed ${seed}`, async (t) => {
    const result = await simulateRooms({ ...MODEL, seed, partitionedShare: 1 / 3 });
    t.log(result);
    t.true(result.falls <= MAX_FALLS);
  }),
);
