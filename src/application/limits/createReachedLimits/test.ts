import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { PERMIT_WINDOW_MS } from '../../../domain/limits';
import { computeReachedFraction } from '../../../domain/shares';
import { createLimitOwner, type LimitOwner } from '../createLimitOwner';
import { createPermitClient } from '../createPermitClient';
import { createRoomClient } from '../createRoomClient';
import { createRoomOwner, type RoomOwner } from '../createRoomOwner';
import { createReachedLimits } from '.';

const LIMIT_PER_S = 8;
const SLOTS = 6;

/** VMs of a fleet that was cut in two, of which each knows those of its own side only. */
const SIDES = [
  ['vm-1', 'vm-2', 'vm-3'],
  ['vm-4', 'vm-5', 'vm-6'],
];

const NAMES = SIDES.flat();

const SECONDS = 20;
const STEP_MS = 50;

const NO_WAIT = { leftMs: 60_000, waitMs: 0 };

const buildFleet = () => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(1);
  const limits = { readLimitPerS: () => LIMIT_PER_S, readMaxRejectionsPerS: () => 10 };
  const limitOwners = new Map<string, LimitOwner>();
  const roomOwners = new Map<string, RoomOwner>();
  const vms = SIDES.flatMap((side) =>
    side.map((vm) => {
      const reached = createReachedLimits({
        limits,
        readServer: () => ({ slots: SLOTS, running: 0 }),
        readReachedFraction: () => computeReachedFraction(NAMES, new Set(side)),
      });
      const owner = createLimitOwner({ clock, limits: reached, randomness });
      const roomOwner = createRoomOwner({ clock, randomness });
      limitOwners.set(vm, owner);
      roomOwners.set(vm, roomOwner);
      const common = {
        self: { vm, availabilityZone: 'z1' },
        listPeers: () =>
          side
            .filter((name) => name !== vm)
            .map((name) => ({ vm: name, address: name, availabilityZone: 'z1' })),
        ...{ clock, randomness, log: QUIET_LOG },
      };
      const permits = createPermitClient({
        ...common,
        ...{ owner, limits: reached },
        askPeer: async (name, request) =>
          limitOwners.get(name)?.handlePermitRequest(request) ?? null,
        notifyReleased: (name, release) => limitOwners.get(name)?.releasePermit(release),
      });
      const rooms = createRoomClient({
        ...common,
        ...{ owner: roomOwner, limits, readServer: reached.readServer },
        askPeer: async (name, request) => roomOwners.get(name)?.handleRoomRequest(request) ?? null,
        releaseAtPeer: async () => true,
      });
      return { permits, rooms };
    }),
  );
  return { clock, vms };
};

// Guards against a rate limit that each side of a cut grants as a whole.
test('the sides of a cut together grant no more permits than the limit', async (t) => {
  const { clock, vms } = buildFleet();
  let granted = 0;
  for (let atMs = 0; atMs < SECONDS * 1000; atMs += STEP_MS) {
    for (const { permits } of vms)
      if (typeof (await permits.acquirePermit('i-1')) !== 'number') granted += 1;
    clock.advance(STEP_MS);
  }
  const windowS = PERMIT_WINDOW_MS / 1000;
  t.true(granted >= LIMIT_PER_S * SECONDS * 0.8, `${granted}`);
  t.true(granted <= LIMIT_PER_S * (SECONDS + windowS), `${granted}`);
});

// Guards against room that each side of a cut grants as a whole.
test('the sides of a cut together grant no more room than the server has slots', async (t) => {
  let granted = 0;
  for (const { rooms } of buildFleet().vms)
    for (let request = 0; request < SLOTS; request += 1)
      if (typeof (await rooms.acquireRoom('i-1', NO_WAIT)) !== 'number') granted += 1;
  t.is(granted, SLOTS);
});
