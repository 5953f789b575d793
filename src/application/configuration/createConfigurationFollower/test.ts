import test from 'ava';
import { err, ok } from 'neverthrow';
import { createConfigurationFollower } from '.';
import {
  buildSampleConfiguration,
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../../standins/fakes';
import type { TableStore } from '../../ports';
import { applyConfiguration } from '../applyConfiguration';

const PEER = { vm: 'vm-2', peerAddress: '127.0.0.1:1' };
const silentLog = { info: () => {}, warn: () => {}, error: () => {} };

function setUp() {
  const table = createMemoryTableStore();
  const clock = createFakeClock();
  const randomness = createSeededRandomness(7);
  const apply = (expectedVersion: number) =>
    applyConfiguration(
      { table, clock, randomness },
      {
        configuration: buildSampleConfiguration(),
        expectedVersion,
        appliedBy: 'operator',
        comment: '',
      },
    );
  const follow = (store: TableStore = table, peer = () => follow.source?.readEncoded(0) ?? null) =>
    createConfigurationFollower({
      table: store,
      clock,
      randomness,
      log: silentLog,
      peers: {
        readConfiguration: async () =>
          follow.source === null ? err({ kind: 'unreachable', reason: 'none' }) : ok(peer()),
      },
    });
  /** The peer that answers reads of the followers; null: no peer answers. */
  follow.source = null as ReturnType<typeof createConfigurationFollower> | null;
  return { table, clock, apply, follow };
}

test('a version is read within one poll, or at once when a peer has it', async (t) => {
  const { clock, apply, follow } = setUp();
  const follower = follow();
  const seen: number[] = [];
  follower.addListener(({ version }) => seen.push(version));
  follower.start();
  await clock.advanceAsync(0);
  t.is(follower.readCurrent(), null);
  await apply(0);
  await clock.advanceAsync(1_200);
  await apply(1);
  follower.recordPeerVersion(2, PEER);
  await clock.advanceAsync(0);
  t.deepEqual(seen, [1, 2]);
  follower.stop();
  t.is(clock.countTimers(), 0);
});

test('an idle poll costs one read, and a VM far behind reads the newest version', async (t) => {
  const { table, clock, apply, follow } = setUp();
  await apply(0);
  const follower = follow();
  follower.start();
  await clock.advanceAsync(0);
  table.resetCounts();
  await clock.advanceAsync(12_000);
  t.true(table.countReads() >= 10 && table.countReads() <= 15);
  for (let version = 1; version < 20; version += 1) await apply(version);
  table.resetCounts();
  await clock.advanceAsync(1_200);
  t.is(follower.readVersion(), 20);
  t.true(table.countReads() <= 4);
  follower.stop();
});

// Guards against a change that is undone at a VM for a while: the VM holds version 2, and a replica
// of the table or a lagging peer answers with version 1. The highest version counts, not the latest
// response.
test('a version never goes down', async (t) => {
  const { table, clock, apply, follow } = setUp();
  await apply(0);
  const lagging = follow();
  lagging.start();
  await clock.advanceAsync(0);
  lagging.stop();
  await apply(1);
  const oldRows = await table.listItems('configuration', { limit: 9, descending: false });
  let isOld = false;
  const replica: TableStore = {
    ...table,
    listItems: async (...args) =>
      isOld ? oldRows.map((rows) => rows.slice(0, 1)) : table.listItems(...args),
    readItem: async (...args) => (isOld ? ok(oldRows.unwrapOr([])[0]!) : table.readItem(...args)),
  };
  const follower = follow(replica, () => lagging.readEncoded(0));
  follow.source = lagging;
  follower.start();
  await clock.advanceAsync(0);
  isOld = true;
  follower.recordPeerVersion(3, PEER);
  await clock.advanceAsync(5_000);
  t.is(follower.readVersion(), 2);
  follower.stop();
});

// Guards against a VM that boots in an outage of the table and serves nothing until it ends: the VM
// starts without any state, its peers have version 1 in force, and the table is the only source.
test('a VM that boots in an outage reads the configuration from a peer', async (t) => {
  const { table, clock, apply, follow } = setUp();
  await apply(0);
  const peer = follow();
  peer.start();
  await clock.advanceAsync(0);
  table.setOutage('unavailable');
  const follower = follow();
  follower.start();
  follower.recordPeerVersion(1, PEER);
  await clock.advanceAsync(3_000);
  t.is(follower.readCurrent(), null);
  t.is(follower.readBehindMs(), 3_000);
  follow.source = peer;
  follower.recordPeerVersion(1, PEER);
  await clock.advanceAsync(0);
  t.is(follower.readCurrent()?.version, 1);
  t.is(follower.readBehindMs(), 0);
  t.is(follower.readTableReadAtMs(), null);
  follower.stop();
  peer.stop();
});

test('a malformed row is skipped once a later version exists', async (t) => {
  const { table, clock, apply, follow } = setUp();
  await apply(0);
  const follower = follow();
  follower.start();
  await clock.advanceAsync(0);
  const bad = { partition: 'configuration', sort: '0000000002', revision: 2, expiresAtS: 0 };
  await table.writeItem({ ...bad, body: '{}' }, { kind: 'absent' });
  await clock.advanceAsync(1_200);
  t.is(follower.readVersion(), 1);
  const good = await table.readItem('configuration', '0000000001');
  const { body } = good.unwrapOr(null)!;
  await table.writeItem({ ...bad, sort: '0000000003', body }, { kind: 'absent' });
  await clock.advanceAsync(1_200);
  t.is(follower.readVersion(), 3);
  follower.stop();
});

// Guards against a second change that takes most of an interval to reach the first VM: a change
// spreads, and all VMs poll because of their peers. If such a poll restarted the interval, all VMs
// would poll at the same moments.
test('polls caused by peers do not restart the poll interval', async (t) => {
  const { table, clock, apply, follow } = setUp();
  await apply(0);
  const follower = follow();
  follower.start();
  await clock.advanceAsync(0);
  table.resetCounts();
  for (let version = 2; version <= 11; version += 1) {
    follower.recordPeerVersion(version, PEER);
    await clock.advanceAsync(500);
  }
  t.true(table.countReads() >= 10 + 4, `${table.countReads()} reads`);
  follower.stop();
});
