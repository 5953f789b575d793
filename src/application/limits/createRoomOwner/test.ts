import test from 'ava';
import { createFakeClock, createSeededRandomness } from '../../../../standins/fakes';
import type { RoomRequest } from '../types';
import { createRoomOwner } from '.';

const SLOTS = 2;

const setUp = () => {
  const clock = createFakeClock();
  const owner = createRoomOwner({ clock, randomness: createSeededRandomness(7) });
  let sequence = 0;
  const ask = async (change: Partial<RoomRequest> = {}) => {
    sequence += 1;
    const id = `r-${sequence}`;
    const decision = await owner.handleRoomRequest({
      id,
      sender: 'vm-1',
      server: 'i-1',
      slots: SLOTS,
      maxRejectionsPerS: 4,
      running: 0,
      leftMs: 1000,
      waitMs: 0,
      ...change,
    });
    return { id, ...decision };
  };
  const release = (id: string, isRejected = false) =>
    owner.releaseRoom({ id, isRejected, server: 'i-1' });
  return { ask, clock, release };
};

test('a server gets as many requests of all VMs as it runs at a time', async (t) => {
  const { ask } = setUp();
  t.true((await ask({ sender: 'vm-1' })).isGranted);
  t.true((await ask({ sender: 'vm-2' })).isGranted);
  t.false((await ask({ sender: 'vm-3' })).isGranted);
});

test('the first of those that wait gets room that is released', async (t) => {
  const { ask, clock, release } = setUp();
  const held = await ask();
  await ask();
  const granted: string[] = [];
  const waiting = ['a', 'b'].map(async (sender) => {
    if ((await ask({ sender, waitMs: 50 })).isGranted) granted.push(sender);
  });
  await clock.advanceAsync(10);
  release(held.id);
  await clock.advanceAsync(50);
  await Promise.all(waiting);
  t.deepEqual(granted, ['a']);
});

test('requests that VMs had before they asked count as well', async (t) => {
  const { ask, clock } = setUp();
  t.true((await ask({ sender: 'vm-1', running: 1 })).isGranted);
  t.false((await ask({ sender: 'vm-2', running: 2 })).isGranted);
  await clock.advanceAsync(600);
  t.true((await ask({ sender: 'vm-3' })).isGranted);
});

// Guards against slots that stay unused after the VM that held them has ended.
test('room counts no longer than the request can last', async (t) => {
  const { ask, clock } = setUp();
  await ask();
  await ask();
  await clock.advanceAsync(1001);
  t.true((await ask()).isGranted);
});

test('a request that no longer waits takes no room', async (t) => {
  const { ask, clock, release } = setUp();
  const held = await ask();
  await ask();
  const waiting = ask({ id: 'left', waitMs: 50 });
  await clock.advanceAsync(1);
  release('left');
  release(held.id);
  t.true((await ask()).isGranted);
  await clock.advanceAsync(50);
  t.truthy(await Promise.race([waiting, clock.readMonotonicMs()]));
});

test('after half of the rejections that a server bears it gets nothing for a second', async (t) => {
  const { ask, clock, release } = setUp();
  release((await ask()).id, true);
  release((await ask()).id, true);
  const refused = await ask();
  t.false(refused.isGranted);
  t.is(refused.waitMs, 1000);
  await clock.advanceAsync(1000);
  t.true((await ask()).isGranted);
});
