// Guards against configuration changes that are overdue after a store outage. A waiting call sends
// nothing while it waits, so that only its timeout reveals its loss, and that timeout must end
// within the settling time of an undisturbed VM. In the recorded case a change answered the waiting
// calls of all VMs at once; 0.5 s later the store fell silent for 5.6 s. All calls timed out after
// 5.0 s, were repeated 0.1 s later in the same outage, and waited another 5.0 s, of which 4.5 s
// after its end. Two versions acknowledged meanwhile were in force 3.7 s after the second: a route
// still led to its old service, and a caller with a new key got 401. The record showed one
// unanswered call per VM in the last second of the outage and none until 15.6 s; calls for the
// other table, sent 0.5 s after the outage, were answered.
import test from 'ava';
import { CONFIGURATION_KEY, TABLES } from '../../platform';
import { wireGateway } from '../../src/programs/gateway/_lib/wireGateway';
import {
  buildGatewaySettings,
  createVirtualStore,
  buildWireConfiguration,
  buildWireEntry,
} from '../../standins/gateway';
import { createFakeClock, createSeededRandomness } from '../../standins/fakes';

const SETTINGS = buildGatewaySettings('http://127.0.0.1:9');
const { changeMs, settleMs } = SETTINGS.bounds;

/** Interval between checks of the configuration in force. */
const CHECK_INTERVAL_MS = 50;

const SERVER = { id: 'i-1', address: '10.0.0.1:80' };

/** An event of the simulation. */
interface Step {
  readonly atMs: number;
  readonly run: () => void;
}

/** Creates a single gateway that follows a store in virtual time. */
const setUp = (seed: number) => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  const { directory, followers, tables } = wireGateway(SETTINGS, {
    clock,
    store,
    randomness: createSeededRandomness(seed),
  });
  const acks: { readonly atMs: number; readonly version: number }[] = [];
  let configurationVersion = 1;
  let leavingAtMs = Infinity;
  const configure = (): void => {
    configurationVersion += 1;
    const value = buildWireConfiguration({ version: configurationVersion });
    store.writeRow(TABLES.operator, CONFIGURATION_KEY, value);
    acks.push({ atMs: clock.readMonotonicMs(), version: configurationVersion });
  };
  const register = (): void => {
    const entry = buildWireEntry(SERVER);
    store.writeRow(TABLES.servers, SERVER.id, entry);
  };
  const leave = (): void => {
    store.writeRow(TABLES.servers, SERVER.id, buildWireEntry(SERVER, { state: 'draining' }));
    leavingAtMs = clock.readMonotonicMs();
  };
  /** Lists changes that should be in force by now but are not. */
  const listOverdue = (): string[] => {
    const nowMs = clock.readMonotonicMs();
    const due = acks.filter(({ atMs }) => atMs <= nowMs - changeMs).at(-1)?.version ?? 0;
    const held = tables.readCurrent()?.version ?? 0;
    const isLeaverUsed = leavingAtMs <= nowMs - changeMs && directory.findServing(SERVER.id);
    return [
      ...(held < due ? [`${nowMs} ms: configuration ${held} of ${due}`] : []),
      ...(isLeaverUsed ? [`${nowMs} ms: a server that leaves takes work`] : []),
    ];
  };
  /**
   * Runs the steps; returns changes that are overdue once the VM has settled after `recoveredAtMs`.
   */
  const runSteps = async (
    steps: readonly Step[],
    { endMs, recoveredAtMs }: { readonly endMs: number; readonly recoveredAtMs: number },
  ): Promise<readonly string[]> => {
    const overdue: string[] = [];
    configure();
    register();
    followers.configuration.start();
    followers.servers.start();
    const remaining = [...steps].sort((one, other) => one.atMs - other.atMs);
    while (clock.readMonotonicMs() < endMs) {
      const nextMs = Math.min(
        clock.readMonotonicMs() + CHECK_INTERVAL_MS,
        remaining[0]?.atMs ?? Infinity,
      );
      // Checks and steps run one after the other, each at its own time.

      await clock.advanceAsync(nextMs - clock.readMonotonicMs());
      while (remaining[0] && remaining[0].atMs <= nextMs) remaining.shift()?.run();
      if (nextMs >= recoveredAtMs + settleMs) overdue.push(...listOverdue());
    }
    followers.configuration.stop();
    followers.servers.stop();
    return overdue;
  };
  return { configure, leave, runSteps, store };
};

test('after an outage that lost two calls in a row, changes are in force in time', async (t) => {
  const { configure, runSteps, store } = setUp(1);
  const steps = [
    { atMs: 4900, run: configure },
    { atMs: 5450, run: () => store.setSilent(true) },
    { atMs: 11_100, run: () => store.setSilent(false) },
    { atMs: 11_145, run: configure },
    { atMs: 12_037, run: configure },
  ];
  t.deepEqual(await runSteps(steps, { recoveredAtMs: 11_100, endMs: 20_000 }), []);
});

test('after an outage of any length and phase, nothing is overdue once the VM has settled', async (t) => {
  const found: string[] = [];
  for (const lastsMs of [150, 700, 1500, 2900, 5000, 5600, 8300]) {
    for (let fromMs = 5000; fromMs < 10_000; fromMs += 450) {
      const { configure, leave, runSteps, store } = setUp(fromMs);
      const untilMs = fromMs + lastsMs;
      const steps = [
        { atMs: 4900, run: configure },
        { atMs: fromMs, run: () => store.setSilent(true) },
        { atMs: untilMs, run: () => store.setSilent(false) },
        { atMs: untilMs + 20, run: configure },
        { atMs: untilMs + 40, run: leave },
        { atMs: untilMs + 950, run: configure },
      ];

      const overdue = await runSteps(steps, { recoveredAtMs: untilMs, endMs: untilMs + 9000 });
      if (overdue.length > 0) found.push(`from ${fromMs} for ${lastsMs}: ${overdue[0]}`);
    }
  }
  t.deepEqual(found, []);
});

test('after a single lost waiting call, nothing is overdue once the VM has settled', async (t) => {
  const found: string[] = [];
  for (const table of [TABLES.operator, TABLES.servers]) {
    for (let lostAtMs = 5000; lostAtMs < 16_000; lostAtMs += 350) {
      const { configure, leave, runSteps, store } = setUp(lostAtMs);
      const steps = [
        { atMs: 4900, run: configure },
        { atMs: lostAtMs, run: () => store.dropPendingCalls(table) },
        { atMs: lostAtMs + 10, run: table === TABLES.operator ? configure : leave },
        { atMs: lostAtMs + 900, run: configure },
      ];

      const overdue = await runSteps(steps, { recoveredAtMs: lostAtMs, endMs: lostAtMs + 9000 });
      if (overdue.length > 0) found.push(`${table} lost at ${lostAtMs}: ${overdue[0]}`);
    }
  }
  t.deepEqual(found, []);
});

// Idle calls cost money: waits of 1.7 s on both tables make 74 calls a minute, and 44 when the
// answers of the configuration table also guard the servers table.
test('an idle VM calls the store less than once a second', async (t) => {
  const { runSteps, store } = setUp(2);
  await runSteps([], { recoveredAtMs: 0, endMs: 60_000 });
  t.true(store.countCalls() < 60, `${store.countCalls()} calls`);
  t.log(`${store.countCalls()} calls a minute`);
});

test('a change of one table is received without additional calls', async (t) => {
  const idle = setUp(3);
  await idle.runSteps([], { recoveredAtMs: 0, endMs: 20_000 });
  const most = idle.store.countCalls() + 2;
  const changed = setUp(3);
  const steps = [
    { atMs: 5000, run: changed.configure },
    { atMs: 9000, run: changed.leave },
  ];
  t.deepEqual(await changed.runSteps(steps, { recoveredAtMs: 0, endMs: 20_000 }), []);
  t.true(changed.store.countCalls() <= most, `${changed.store.countCalls()} of ${most}`);
});
