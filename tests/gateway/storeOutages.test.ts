// Symptom: after an outage of the store, callers' requests were handled by the configuration before
// the last two, over two seconds after the newest one had been acknowledged, at all VMs alike: a
// route went on to the service that it had been moved away from, and a caller with a new key got 401.
// Sequence: a change answered the waiting calls of all VMs, so that all asked again at the same
// moment; half a second later the store fell silent for 5.6 s. All gave up after 5.0 s, asked again
// 0.1 s later, while the store was still silent, and waited 5.0 s once more: 4.5 s of these after its
// return. Meanwhile two versions were acknowledged; they were in force 3.7 s after the second.
// Cause: a call that waits for changes says nothing while it waits. That it was lost showed only at
// its own limit, which was set for VMs that have the settling time and the time of a change on top;
// but a VM counts as undisturbed, and must follow, once the settling time is over.
// Evidence: one call a VM without an answer in the last second of the outage, none from its end to
// 15.6 s; calls of the other table, sent 0.5 s after the end of the outage, were answered.
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

/** Time between two looks at what is in force. */
const LOOK_MS = 50;

const SERVER = { id: 'i-1', address: '10.0.0.1:80' };

/** Something that happens at a time of the play. */
interface Step {
  readonly atMs: number;
  readonly run: () => void;
}

/** A gateway that follows a store in virtual time, alone. */
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
    const entry = buildWireEntry(SERVER as never);
    store.writeRow(TABLES.servers, SERVER.id, entry);
  };
  const leave = (): void => {
    store.writeRow(
      TABLES.servers,
      SERVER.id,
      buildWireEntry(SERVER as never, { state: 'draining' }),
    );
    leavingAtMs = clock.readMonotonicMs();
  };
  /** What must be in force by now, but is not. */
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
  /** Plays the steps; returns what was overdue after `soundAtMs`, the end of all disturbance. */
  const play = async (
    steps: readonly Step[],
    { endMs, soundAtMs }: { readonly endMs: number; readonly soundAtMs: number },
  ): Promise<readonly string[]> => {
    const overdue: string[] = [];
    configure();
    register();
    followers.configuration.start();
    followers.servers.start();
    const left = [...steps].sort((one, other) => one.atMs - other.atMs);
    while (clock.readMonotonicMs() < endMs) {
      const nextMs = Math.min(clock.readMonotonicMs() + LOOK_MS, left[0]?.atMs ?? Infinity);
      // Looks and steps come one after the other, each in its own moment.

      await clock.advanceAsync(nextMs - clock.readMonotonicMs());
      while (left[0] && left[0].atMs <= nextMs) left.shift()?.run();
      if (nextMs >= soundAtMs + settleMs) overdue.push(...listOverdue());
    }
    followers.configuration.stop();
    followers.servers.stop();
    return overdue;
  };
  return { configure, leave, play, store };
};

test('after an outage in which two calls in a row were lost, changes are in force in time', async (t) => {
  const { configure, play, store } = setUp(1);
  const steps = [
    { atMs: 4900, run: configure },
    { atMs: 5450, run: () => store.setSilent(true) },
    { atMs: 11_100, run: () => store.setSilent(false) },
    { atMs: 11_145, run: configure },
    { atMs: 12_037, run: configure },
  ];
  t.deepEqual(await play(steps, { soundAtMs: 11_100, endMs: 20_000 }), []);
});

test('an outage of any length and phase leaves nothing overdue once the VM has settled', async (t) => {
  const found: string[] = [];
  for (const lastsMs of [150, 700, 1500, 2900, 5000, 5600, 8300]) {
    for (let fromMs = 5000; fromMs < 10_000; fromMs += 450) {
      const { configure, leave, play, store } = setUp(fromMs);
      const untilMs = fromMs + lastsMs;
      const steps = [
        { atMs: 4900, run: configure },
        { atMs: fromMs, run: () => store.setSilent(true) },
        { atMs: untilMs, run: () => store.setSilent(false) },
        { atMs: untilMs + 20, run: configure },
        { atMs: untilMs + 40, run: leave },
        { atMs: untilMs + 950, run: configure },
      ];

      const overdue = await play(steps, { soundAtMs: untilMs, endMs: untilMs + 9000 });
      if (overdue.length > 0) found.push(`from ${fromMs} for ${lastsMs}: ${overdue[0]}`);
    }
  }
  t.deepEqual(found, []);
});

test('a waiting call that is lost alone leaves nothing overdue once the VM has settled', async (t) => {
  const found: string[] = [];
  for (const table of [TABLES.operator, TABLES.servers]) {
    for (let lostAtMs = 5000; lostAtMs < 16_000; lostAtMs += 350) {
      const { configure, leave, play, store } = setUp(lostAtMs);
      const steps = [
        { atMs: 4900, run: configure },
        { atMs: lostAtMs, run: () => store.dropPendingCalls(table) },
        { atMs: lostAtMs + 10, run: table === TABLES.operator ? configure : leave },
        { atMs: lostAtMs + 900, run: configure },
      ];

      const overdue = await play(steps, { soundAtMs: lostAtMs, endMs: lostAtMs + 9000 });
      if (overdue.length > 0) found.push(`${table} lost at ${lostAtMs}: ${overdue[0]}`);
    }
  }
  t.deepEqual(found, []);
});

// Quiet calls cost the platform money: with waits of 1.7 s on both tables it is 74 calls a minute,
// with the servers' table guarded by the configuration's answers 44.
test('a quiet VM asks the store less than once a second', async (t) => {
  const { play, store } = setUp(2);
  await play([], { soundAtMs: 0, endMs: 60_000 });
  t.true(store.countCalls() < 60, `${store.countCalls()} calls`);
  t.log(`${store.countCalls()} calls a minute`);
});

test('changes of either table alone are taken without further calls', async (t) => {
  const quiet = setUp(3);
  await quiet.play([], { soundAtMs: 0, endMs: 20_000 });
  const most = quiet.store.countCalls() + 2;
  const changed = setUp(3);
  const steps = [
    { atMs: 5000, run: changed.configure },
    { atMs: 9000, run: changed.leave },
  ];
  t.deepEqual(await changed.play(steps, { soundAtMs: 0, endMs: 20_000 }), []);
  t.true(changed.store.countCalls() <= most, `${changed.store.countCalls()} of ${most}`);
});
