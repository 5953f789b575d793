import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import { PERMIT_WINDOW_MS } from '../../../domain/limits';
import { createLimitOwner } from '../createLimitOwner';
import { createPermitClient, type PermitClient } from '.';

const VMS = 4;
const LIMIT_PER_S = 4;
const WINDOW_S = PERMIT_WINDOW_MS / 1000;

/** Creates the client of a VM whose peers do not respond. */
const setUp = (): PermitClient => {
  const clock = createFakeClock();
  const limits = { readLimitPerS: (server: string) => (server === 'i-1' ? LIMIT_PER_S : null) };
  const peers = Array.from({ length: VMS - 1 }, (_, index) => `vm-${index + 2}`);
  return createPermitClient({
    self: { vm: 'vm-1', availabilityZone: 'z1' },
    listPeers: () => peers.map((vm) => ({ vm, address: vm, availabilityZone: 'z1' })),
    askPeer: async () => null,
    notifyReleased: () => undefined,
    owner: createLimitOwner({ clock, limits, randomness: createSeededRandomness(1) }),
    limits,
    clock,
    randomness: createSeededRandomness(2),
    log: QUIET_LOG,
  });
};

/** Asks for more permits than there are, and counts those that are granted. */
const countGranted = async (client: PermitClient): Promise<number> => {
  let granted = 0;
  for (let request = 0; request < LIMIT_PER_S * WINDOW_S; request += 1)
    if (typeof (await client.acquirePermit('i-1')) !== 'number') granted += 1;
  return granted;
};

test('a VM without responding peers gets no more than its even share of a limit', async (t) => {
  const granted = await countGranted(setUp());
  t.true(granted > 0);
  t.true(granted <= (LIMIT_PER_S * WINDOW_S) / VMS, `${granted}`);
});

test('a permit of the even share that is not used is there for the next request', async (t) => {
  const client = setUp();
  const unused = await client.acquirePermit('i-1');
  if (typeof unused !== 'number') unused.release();
  t.is(await countGranted(client), await countGranted(setUp()));
});
