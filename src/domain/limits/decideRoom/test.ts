import test from 'ava';
import { decideRoom, type RoomOptions } from '.';

const decide = (change: Partial<RoomOptions>) =>
  decideRoom({
    held: 0,
    slots: 4,
    maxRejectionsPerS: 6,
    rejectionAgesMs: [],
    askingVms: 1,
    draw: 0.5,
    ...change,
  });

test('a server has room for as many requests as it runs at a time', (t) => {
  t.true(decide({ held: 3 }).isGranted);
  t.false(decide({ held: 4 }).isGranted);
  t.true(decide({ held: 4 }).waitMs > 0);
});

test('the more VMs ask, the longer each of them waits', (t) => {
  const waitsMs = [1, 40, 400, 40_000].map((askingVms) => decide({ held: 4, askingVms }).waitMs);
  t.deepEqual(waitsMs, [15, 60, 510, 1000]);
});

test('recent rejections take slots from the room, but never the last one', (t) => {
  t.false(decide({ held: 3, rejectionAgesMs: [2000] }).isGranted);
  t.true(decide({ held: 3, rejectionAgesMs: [5000] }).isGranted);
  t.true(decide({ held: 0, rejectionAgesMs: Array.from({ length: 9 }, () => 2000) }).isGranted);
});

test('nothing is sent while half of the rejections that the server bears are used up', (t) => {
  t.true(decide({ rejectionAgesMs: [100, 900] }).isGranted);
  t.deepEqual(decide({ rejectionAgesMs: [100, 200, 900] }), { isGranted: false, waitMs: 100 });
});

test('one rejection is enough for a server that bears none', (t) => {
  t.false(decide({ maxRejectionsPerS: 0, rejectionAgesMs: [500] }).isGranted);
});
