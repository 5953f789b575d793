import test from 'ava';
import { buildRunOutcome } from '../../standins/fakes';
import type { LoadReport } from '../../src/domain/types';
import { createTestRegion } from './_lib/createTestRegion';
import type { TestRegion } from './_lib/createTestRegion';

const startRegion = async (count: number, region = 'gt', seed = 1): Promise<TestRegion> => {
  const started = createTestRegion(seed);
  Array.from({ length: count }, (_, index) => `vm-${index + 1}`).forEach((name) =>
    started.startVm(name, { region, seeds: [] }),
  );
  started.announceAllVms();
  await started.clock.advanceAsync(6_000);
  return started;
};

const REPORT: LoadReport = {
  backendServer: 'engine-1',
  sequence: 5,
  running: 3,
  waiting: 0,
  slots: 8,
  cacheUse: 0.5,
  tokensPerSecond: 100,
  models: [{ model: 'review', version: '1', adapter: '' }],
  role: 'serve',
  leaving: false,
  fencingToken: 4,
  ageMs: 200,
  receivedAtMs: 0,
};

for (const count of [3, 9, 40]) {
  test(`${count} VMs hear each other, and news reaches every VM`, async (t) => {
    const { vms, clock, stop } = await startRegion(count);
    vms.forEach(({ exchange }) => {
      t.deepEqual(exchange.readFreshness(), {
        newestReadAgeMs: null,
        vmsHeard: count,
        vmsRegistered: count,
      });
    });
    const [first, ...others] = vms;
    if (first === undefined) return;
    first.configuration.version = 7;
    first.configuration.tableReadAtMs = clock.readMonotonicMs();
    first.load.recordReport({ ...REPORT, receivedAtMs: clock.readMonotonicMs() });
    await clock.advanceAsync(3_000);
    others.forEach(({ configuration, load, exchange }) => {
      t.is(configuration.version, 7);
      t.like(load.findReport('engine-1'), { running: 3, slots: 8, fencingToken: 4 });
      const { newestReadAgeMs } = exchange.readFreshness();
      t.true(newestReadAgeMs !== null && newestReadAgeMs >= 3_000 && newestReadAgeMs < 5_500);
    });
    stop();
  });
}

test('a suspicion, a recovery and a leaving server are pushed to the whole region at once', async (t) => {
  // Guards against generations on a dead engine that hang at other entries until each detects the
  // silence: news that is not pushed waits for the next gossip round (500 ms).
  const { vms, clock, stop } = await startRegion(9);
  const [first, second] = vms;
  const readHealth = () =>
    new Set(vms.map(({ health }) => `${health.readHealth('e-1')} ${health.readHealth('e-2')}`));
  const suspicion = { backendServer: 'e-1', cause: 'reset', confirmed: true, epoch: 0 } as const;
  first?.health.recordSuspicion({ ...suspicion, vm: 'vm-1' });
  second?.health.recordLeaving('e-2', true);
  await clock.advanceAsync(10);
  t.deepEqual([...readHealth()], ['dead leaving']);
  first?.health.recordRecovery('e-1');
  await clock.advanceAsync(10);
  t.deepEqual([...readHealth()], ['serving leaving']);
  await clock.advanceAsync(3_000);
  t.deepEqual([...readHealth()], ['serving leaving']);
  stop();
});

test('a crash under a request is pushed to the whole region at once, and told to VMs that start later', async (t) => {
  const region = await startRegion(4);
  const { atMs, ...crash } = buildRunOutcome();
  region.vms[0]?.exchange.sendOutcome({ ...crash, ageMs: atMs });
  await region.clock.advanceAsync(10);
  t.deepEqual(
    region.vms.map(({ outcomes }) => outcomes.length),
    [0, 1, 1, 1],
  );
  region.startVm('vm-5', { region: 'gt', seeds: [] });
  region.announceAllVms();
  await region.clock.advanceAsync(3000);
  const [told] = region.vms[4]?.outcomes ?? [];
  t.like(told, crash);
  t.true((told?.ageMs ?? 0) > 0);
  region.stop();
});

test('a server that reports leaving and later takes it back is serving again at all VMs', async (t) => {
  // Guards against a server, replaced under the same name, that gets no work from VMs that do not
  // poll it: its reports set `leaving` and later clear it, and only the first change was applied.
  const { vms, clock, stop } = await startRegion(9);
  const readHealth = () => new Set(vms.slice(1).map(({ health }) => health.readHealth('engine-1')));
  const report = (sequence: number, leaving: boolean) =>
    vms[0]?.load.recordReport({
      ...REPORT,
      sequence,
      leaving,
      receivedAtMs: clock.readMonotonicMs(),
    });
  report(1, true);
  await clock.advanceAsync(2_000);
  t.deepEqual([...readHealth()], ['leaving']);
  await clock.advanceAsync(2_000);
  report(2, false);
  await clock.advanceAsync(2_000);
  t.deepEqual([...readHealth()], ['serving']);
  stop();
});

test('running requests of a VM count at the other VMs until they end', async (t) => {
  const { vms, clock, stop } = await startRegion(9);
  vms[0]?.load.recordSend('engine-2', []);
  await clock.advanceAsync(1_500);
  t.deepEqual(
    vms.map(({ load }) => load.readRunningEstimate('engine-2').running),
    vms.map(() => 1),
  );
  vms[0]?.load.recordEnd('engine-2', 1000);
  await clock.advanceAsync(1_500);
  t.true(vms.every(({ load }) => load.readRunningEstimate('engine-2').running === 0));
  stop();
});

test('both sides detect a network partition and recover after it heals', async (t) => {
  // Guards against a partitioned VM that accepts work under an outdated configuration: a VM counts
  // as heard without news that is proven fresh.
  const { vms, clock, cutNetwork, stop } = await startRegion(9);
  const names = vms.map(({ name }) => name);
  cutNetwork([names.slice(0, 4), names.slice(4)]);
  await clock.advanceAsync(8_000);
  const countHeard = () => vms.map(({ exchange }) => exchange.readFreshness().vmsHeard);
  t.deepEqual(countHeard(), [4, 4, 4, 4, 5, 5, 5, 5, 5]);
  t.deepEqual(vms[0]?.exchange.listLiveVms().length, 4);
  t.is(vms[0]?.exchange.readFreshness().vmsRegistered, 9);
  cutNetwork(null);
  await clock.advanceAsync(8_000);
  t.deepEqual(new Set(countHeard()), new Set([9]));
  stop();
});

test('a VM that boots during an outage finds its peers through a seed address', async (t) => {
  // Guards against a new VM that finds no peer and accepts no work while the VM list and the table
  // are unreachable.
  const region = await startRegion(3);
  const booted = region.startVm('vm-4', { region: 'gt', seeds: ['vm-2:1'] });
  await region.clock.advanceAsync(6_000);
  t.is(booted.exchange.readFreshness().vmsHeard, 4);
  t.is(region.vms[2]?.exchange.findPeerAddress('vm-4'), 'vm-4:1');
  region.stop();
});

test('a restarted VM is distinguished from its earlier incarnation', async (t) => {
  // Guards against a restarted VM that peers ignore for as long as its predecessor ran, or that
  // they count as `leaving` as its predecessor was: its heartbeats and counters start from zero.
  const region = await startRegion(14);
  const [old] = region.vms;
  await region.clock.advanceAsync(30_000);
  old?.exchange.recordOwnLeaving(true);
  await region.clock.advanceAsync(1_000);
  t.false(region.vms[1]?.exchange.listLiveVms().includes('vm-1'));
  old?.exchange.stop();
  await region.clock.advanceAsync(10_000);
  const next = region.startVm('vm-1', { region: 'gt', seeds: ['vm-2:1'] });
  await region.clock.advanceAsync(8_000);
  region.vms.slice(1).forEach(({ exchange }) => t.is(exchange.listLiveVms().length, 14));
  t.is(next.exchange.readFreshness().vmsHeard, 14);
  region.stop();
});

test('a booting VM does not count dead VMs as heard because of their old heartbeats', async (t) => {
  // Guards against a VM that boots in the minority of a partition and counts itself in the
  // majority: the first heartbeat seen may be the last of a dead VM; only an increase proves
  // liveness.
  const region = await startRegion(14);
  const names = region.vms.map(({ name }) => name);
  region.cutNetwork([[...names.slice(0, 6), 'vm-15'], names.slice(6)]);
  await region.clock.advanceAsync(8_000);
  const { exchange } = region.startVm('vm-15', { region: 'gt', seeds: ['vm-1:1'] });
  const heard: number[] = [];
  for (let second = 0; second < 8; second += 1) {
    await region.clock.advanceAsync(1_000);
    heard.push(exchange.readFreshness().vmsHeard);
  }
  t.is(Math.max(...heard), 7, heard.join(' '));
  region.stop();
});

test('news that was buffered during a pause does not count as fresh', async (t) => {
  // Guards against buffered news that a paused VM takes as proof that it is not partitioned: an age
  // in a message does not include the time that the message spent in a buffer.
  const { vms, clock, cutNetwork, readLastNews, stop } = await startRegion(2);
  const [reader, writer] = vms;
  if (reader === undefined || writer === undefined) return;
  writer.configuration.tableReadAtMs = clock.readMonotonicMs();
  await clock.advanceAsync(2_000);
  const buffered = readLastNews('vm-1');
  cutNetwork([]);
  await clock.advanceAsync(60_000);
  if (buffered !== null) reader.exchange.handleNews(buffered);
  const { newestReadAgeMs, vmsHeard } = reader.exchange.readFreshness();
  t.true(newestReadAgeMs === null || newestReadAgeMs >= 60_000);
  t.is(vmsHeard, 1);
  stop();
});

test('regions count the VMs of each other, also during a partition', async (t) => {
  const region = createTestRegion(4);
  const names = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2'];
  names.forEach((name) => region.startVm(name, { region: name.slice(0, 1), seeds: [] }));
  region.announceAllVms();
  await region.clock.advanceAsync(10_000);
  region.vms.forEach(({ exchange }) => {
    t.like(exchange.readFreshness(), { vmsHeard: 5, vmsRegistered: 5 });
  });
  region.cutNetwork([names.slice(0, 3), names.slice(3)]);
  await region.clock.advanceAsync(10_000);
  t.is(region.vms[0]?.exchange.readFreshness().vmsHeard, 3);
  t.is(region.vms[4]?.exchange.readFreshness().vmsHeard, 2);
  region.stop();
});
