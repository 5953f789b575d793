import test from 'ava';
import { createFakeClock, createSeededRandomness } from '../../../../standins/fakes';
import type { RowChanges, SharedRow } from '../../ports';
import type { RowFollower } from '../../rows';
import type { Knowledge, SharedSuspicion } from '../types';
import { createGossip, type Gossip } from '.';

const QUIET = { info: () => undefined, warn: () => undefined, error: () => undefined };

/** A follower that holds what the test gives it. */
const createHeldRows = (rows: readonly SharedRow[], isReachable: boolean): RowFollower => {
  const held = new Map(rows.map((row) => [row.key, row]));
  let version = rows.reduce((newest, row) => Math.max(newest, row.version), 0);
  return {
    start: () => undefined,
    stop: () => undefined,
    readVersion: () => version,
    listChanges: (after) => ({
      rows: [...held.values()].filter((row) => row.version > after),
      version,
    }),
    mergeChanges: (changes: RowChanges, after) => {
      changes.rows.forEach((row) => held.set(row.key, row));
      if (after <= version) version = Math.max(version, changes.version);
    },
    isStoreReachable: () => isReachable,
  };
};

const buildRow = (key: string, version: number): SharedRow => ({
  key,
  value: Buffer.from(key),
  version,
});

/** Some VMs that reach each other, but for those that the test cuts off. */
const setUp = (names: readonly string[], rowsOf: Readonly<Record<string, SharedRow[]>>) => {
  const clock = createFakeClock();
  const cut = new Set<string>();
  const gossips = new Map<string, Gossip>();
  const followers = new Map<string, RowFollower>();
  const suspicions: { readonly vm: string; readonly server: string }[] = [];
  let calls = 0;
  names.forEach((vm, index) => {
    const follower = createHeldRows(rowsOf[vm] ?? [], (rowsOf[vm] ?? []).length > 0);
    followers.set(vm, follower);
    gossips.set(
      vm,
      createGossip({
        self: { vm, address: vm, availabilityZone: 'z1' },
        seedAddresses: [names[0] as string],
        calls: {
          exchangeKnowledge: async (address: string, knowledge: Knowledge) => {
            calls += 1;
            if (cut.has(vm) || cut.has(address)) return null;
            return gossips.get(address)?.handleKnowledge(knowledge) ?? null;
          },
        },
        followers: new Map([['t', follower]]),
        clock,
        randomness: createSeededRandomness(index + 1),
        log: QUIET,
        handleSuspicion: ({ server }: SharedSuspicion) => suspicions.push({ vm, server }),
      }),
    );
  });
  const stop = (): void => gossips.forEach((gossip) => gossip.stop());
  return { clock, cut, followers, gossips, stop, suspicions, countCalls: () => calls };
};

const NAMES = ['a', 'b', 'c', 'd', 'e'];

test('VMs that know one seed learn of all others', async (t) => {
  const { clock, gossips, stop } = setUp(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  gossips.forEach((gossip) => t.is(gossip.countVms(), NAMES.length));
  stop();
});

// Symptom: a VM goes on with an old configuration, or with a key that was taken away.
// Sequence: the store turns this VM away and serves the others; the configuration changes.
// Cause: rows come from the store only.
test('a VM that the store turns away gets the rows of the others within a second or two', async (t) => {
  const { clock, followers, gossips, stop } = setUp(NAMES, { a: [buildRow('x', 7)] });
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(2000);
  NAMES.forEach((vm) => t.is(followers.get(vm)?.readVersion(), 7));
  stop();
});

test('a suspicion is told to all VMs at once', async (t) => {
  const { clock, gossips, stop, suspicions } = setUp(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  gossips.get('b')?.sendSuspicion('i-1', 'not-connected');
  await clock.advanceAsync(100);
  t.deepEqual(suspicions.map(({ vm }) => vm).sort(), ['a', 'c', 'd', 'e']);
  stop();
});

// Symptom: a VM counts VMs that are long gone, and uses too small a part of the repeats.
// Sequence: a VM is cut off, or removed for good.
// Cause: whoever was heard once counts for ever.
test('a VM that is not heard any more is not counted, and is counted again when it is back', async (t) => {
  const { clock, cut, gossips, stop } = setUp(NAMES, {});
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(6000);
  cut.add('e');
  await clock.advanceAsync(15_000);
  t.is(gossips.get('a')?.countVms(), NAMES.length - 1);
  cut.delete('e');
  await clock.advanceAsync(10_000);
  t.is(gossips.get('a')?.countVms(), NAMES.length);
  stop();
});

test('while nothing happens a VM makes less than one call a second', async (t) => {
  const { clock, countCalls, gossips, stop } = setUp(NAMES, {
    a: [buildRow('x', 1)],
    b: [buildRow('x', 1)],
    c: [buildRow('x', 1)],
    d: [buildRow('x', 1)],
    e: [buildRow('x', 1)],
  });
  gossips.forEach((gossip) => gossip.start());
  await clock.advanceAsync(5000);
  const before = countCalls();
  await clock.advanceAsync(30_000);
  t.true(countCalls() - before < NAMES.length * 30);
  stop();
});
