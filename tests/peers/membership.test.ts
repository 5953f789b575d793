import test from 'ava';
import { err, ok } from 'neverthrow';
import { createMembershipFollower } from '../../src/application/membership';
import type { VmRecord } from '../../src/domain/types';
import { createMemoryTableStore, createSeededRandomness } from '../../standins/fakes';
import type { MemoryTableStore } from '../../standins/fakes';
import { createTestRegion } from './_lib/createTestRegion';

const startVms = (options: {
  readonly names: readonly string[];
  readonly table: MemoryTableStore;
  readonly list: () => readonly VmRecord[] | null;
}) => {
  const region = createTestRegion();
  const ownLeaving: string[] = [];
  const followers = options.names.map((name, index) => {
    const { exchange, health } = region.startVm(name, { region: 'gt', seeds: [] });
    const follower = createMembershipFollower({
      readSelf: () => ({
        vm: name,
        peerAddress: `${name}:1`,
        region: 'gt',
        availabilityZone: 'gt-1',
        leaving: false,
        incarnation: 1_700_000_001 + index,
      }),
      exchange,
      vmList: {
        listVms: async () => {
          const records = options.list();
          return records === null
            ? err({ kind: 'unavailable', reason: 'outage', retryAfterMs: 1_000 })
            : ok(records);
        },
      },
      table: options.table,
      health,
      clock: region.clock,
      randomness: createSeededRandomness(index + 7),
      log: { info: () => {}, warn: () => {}, error: () => {} },
      handleOwnLeaving: () => ownLeaving.push(name),
    });
    follower.start();
    return follower;
  });
  const stop = async () => {
    await Promise.all(followers.map((follower) => follower.stop()));
    region.stop();
  };
  return { ...region, ownLeaving, stop };
};

test('VMs find each other by their registrations while the VM list is outdated', async (t) => {
  const table = createMemoryTableStore();
  const { vms, clock, stop } = startVms({ names: ['a', 'b', 'c'], table, list: () => [] });
  await clock.advanceAsync(70_000);
  t.deepEqual(
    vms.map(({ exchange }) => exchange.readFreshness().vmsHeard),
    [3, 3, 3],
  );
  await stop();
  t.is((await table.listItems('vm', { limit: 9, descending: false })).unwrapOr([]).length, 0);
});

test('a backend server that the VM list marks as leaving gets no new work from any VM', async (t) => {
  // Guards against new work for a server that shuts down: without gossip, each VM learns of a
  // change of the VM list only from its own next poll.
  const records = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'].map((vm) => ({
    vm,
    peerAddress: `${vm}:1`,
    region: 'gt',
    availabilityZone: 'gt-1',
    leaving: false,
  }));
  const engine = { ...records[0]!, vm: 'engine-1', peerAddress: '' };
  let listed: readonly VmRecord[] = [...records, engine];
  const names = records.map(({ vm }) => vm);
  const table = createMemoryTableStore();
  const { vms, clock, ownLeaving, stop } = startVms({ names, table, list: () => listed });
  await clock.advanceAsync(10_000);
  const readHealth = () => vms.map(({ health }) => health.readHealth('engine-1'));
  t.deepEqual(new Set(readHealth()), new Set(['serving']));
  listed = [
    ...records.map((record) => ({ ...record, leaving: record.vm === 'b' })),
    {
      ...engine,
      leaving: true,
    },
  ];
  while (!readHealth().includes('leaving')) await clock.advanceAsync(50);
  await clock.advanceAsync(2_000);
  t.deepEqual(new Set(readHealth()), new Set(['leaving']));
  await clock.advanceAsync(20_000);
  t.deepEqual(new Set(ownLeaving), new Set(['b']));
  t.false(vms[0]?.exchange.listLiveVms().includes('b'));
  listed = [...records, engine];
  await clock.advanceAsync(30_000);
  t.deepEqual(new Set(readHealth()), new Set(['serving']));
  await stop();
});
