// Guards against changes that are in force late after the store was away, and against 404 and 401 by
// a configuration that may be outdated: each way in which a store goes and returns, by what the VM
// does then.
import test from 'ava';
import { CONFIGURATION_KEY, TABLES } from '../../platform';
import { wireGateway } from '../../src/programs/gateway/_lib/wireGateway';
import { createFakeClock, createSeededRandomness } from '../../standins/fakes';
import {
  buildGatewaySettings,
  buildWireConfiguration,
  createVirtualStore,
} from '../../standins/gateway';
import { createVmClock, createVmStore } from '../../standins/rows';

const SETTINGS = buildGatewaySettings('http://127.0.0.1:9');
const { changeMs, settleMs } = SETTINGS.bounds;

const CHECK_MS = 50;

/** Processor time that a VM with 0.35 of a core has in each tenth of a second. */
const QUOTA_MS = 35;
const QUOTA_PERIOD_MS = 100;

/** The VM's calls are answered this much later while the store is slow. */
const SLOW_MS = 200;

const WAYS = ['lost', 'refused', 'reset', 'slow'] as const;
const RETURNS = ['same era', 'history lost', 'older copy'] as const;
const DOINGS = ['following', 'starting', 'short of processor', 'link back later'] as const;

/** When changes are written, after the store's return. */
const WRITES_AFTER_MS = [20, 60, 950, 1500];

interface Case {
  readonly way: (typeof WAYS)[number];
  readonly comesBack: (typeof RETURNS)[number];
  readonly doing: (typeof DOINGS)[number];
  readonly isTwice: boolean;
  /** Calls that get no answer after the return: their connections are dead. */
  readonly lostCalls: number;
  readonly fromMs: number;
  readonly lastsMs: number;
}

const describe = ({ comesBack, doing, fromMs, isTwice, lastsMs, lostCalls, way }: Case): string =>
  `${way}, ${comesBack}, ${doing}, ${isTwice ? 'twice' : 'once'}, ${lostCalls} lost, ${fromMs} for ${lastsMs}`;

/** Plays a case; returns the first change that is overdue, or claim that is not known. */
const play = async (one: Case): Promise<string | null> => {
  const clock = createFakeClock();
  const virtual = createVirtualStore(clock);
  const vmClock = createVmClock(clock);
  const vmStore = createVmStore(virtual, clock, vmClock);
  const { followers, tables } = wireGateway(SETTINGS, {
    clock: vmClock,
    store: { ...vmStore, changeRows: virtual.changeRows, stop: async () => undefined },
    randomness: createSeededRandomness(one.fromMs + one.lastsMs + one.lostCalls),
  });
  const acks: { readonly atMs: number; readonly version: number }[] = [];
  let version = 1;
  const configure = (): void => {
    version += 1;
    virtual.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ version }));
    acks.push({ atMs: clock.readMonotonicMs(), version });
  };
  const start = (): void => {
    followers.configuration.start();
    followers.servers.start();
  };
  const steps: { readonly atMs: number; readonly run: () => void }[] = [];
  const away = (): void => {
    if (one.way === 'slow') vmStore.setDelay(SLOW_MS);
    else vmStore.setReachability(one.way);
  };
  const back = (): void => {
    vmStore.setDelay(0);
    vmStore.setReachability('open');
    vmStore.loseCalls(one.lostCalls);
  };
  const comeBack = (): void => {
    if (one.comesBack === 'history lost') virtual.dropHistory();
    if (one.comesBack !== 'older copy') return;
    // The copy lacks the newest change: nobody can learn of it until it is written again.
    virtual.restoreSnapshot(1);
    acks.pop();
  };
  const addOutage = (fromMs: number, lastsMs: number): number => {
    const untilMs = fromMs + lastsMs;
    const linkMs = one.doing === 'link back later' ? 400 : 0;
    steps.push({ atMs: fromMs, run: away }, { atMs: untilMs, run: comeBack });
    steps.push({ atMs: untilMs + linkMs, run: back });
    return untilMs + linkMs;
  };
  virtual.writeRow('other', 'x', {});
  configure();
  steps.push({ atMs: 3000, run: configure });
  let returnedAtMs = addOutage(one.fromMs, one.lastsMs);
  if (one.isTwice) returnedAtMs = addOutage(returnedAtMs + 700, 900);
  WRITES_AFTER_MS.forEach((afterMs) =>
    steps.push({ atMs: returnedAtMs + afterMs, run: configure }),
  );
  if (one.doing === 'starting') steps.push({ atMs: one.fromMs + one.lastsMs / 2, run: start });
  else start();
  steps.sort((left, right) => left.atMs - right.atMs);
  let problem: string | null = null;
  while (problem === null && clock.readMonotonicMs() < returnedAtMs + 7000) {
    const nowMs = clock.readMonotonicMs();
    const isShort = one.doing === 'short of processor' && nowMs >= one.fromMs;
    const isPaused = isShort && nowMs % QUOTA_PERIOD_MS >= QUOTA_MS;
    if (isPaused) vmClock.pause('stopped');
    else vmClock.resume();
    const periodMs = nowMs - (nowMs % QUOTA_PERIOD_MS) + (isPaused ? QUOTA_PERIOD_MS : QUOTA_MS);
    const nextMs = Math.min(isShort ? periodMs : nowMs + CHECK_MS, steps[0]?.atMs ?? Infinity);
    await clock.advanceAsync(Math.max(0, nextMs - nowMs));
    while (steps[0] && steps[0].atMs <= nextMs) steps.shift()?.run();
    const held = tables.readCurrent()?.version ?? 0;
    const due = acks.filter(({ atMs }) => atMs <= nextMs - changeMs).at(-1)?.version ?? 0;
    const ageMs = followers.configuration.readAgeMs();
    if (held < due && nextMs >= returnedAtMs + settleMs)
      problem = `${describe(one)}: ${nextMs - returnedAtMs} ms after the return ${held} of ${due}`;
    else if (held < due && held > 0 && ageMs <= changeMs)
      problem = `${describe(one)}: ${held} of ${due} is taken for current, age ${ageMs}`;
  }
  followers.configuration.stop();
  followers.servers.stop();
  return problem;
};

const listCases = (way: Case['way']): Case[] =>
  RETURNS.flatMap((comesBack) =>
    DOINGS.flatMap((doing) =>
      [false, true].flatMap((isTwice) =>
        [0, 1, 2].flatMap((lostCalls) =>
          [700, 2900, 5200].flatMap((lastsMs, index) =>
            [0, 600, 1200].map((phaseMs) => ({
              way,
              comesBack,
              doing,
              isTwice,
              lostCalls,
              lastsMs,
              fromMs: 5000 + phaseMs + index * 130,
            })),
          ),
        ),
      ),
    ),
  );

test("a change after the store's return is in force in time, however the VM was cut off", async (t) => {
  t.timeout(180_000);
  const problems: string[] = [];
  for (const way of WAYS) {
    const cases = listCases(way);
    const before = problems.length;
    for (const one of cases) {
      const problem = await play(one);
      if (problem !== null) problems.push(problem);
    }
    t.log(`${way}: ${problems.length - before} of ${cases.length} cells`);
  }
  t.deepEqual(problems.slice(0, 8), []);
});

test('at rest, also after changes, a VM knows all that was confirmed longer ago than the bound', async (t) => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  const { followers } = wireGateway(SETTINGS, {
    clock,
    store,
    randomness: createSeededRandomness(1),
  });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ version: 1 }));
  followers.configuration.start();
  followers.servers.start();
  await clock.advanceAsync(1000);
  const ages: number[] = [];
  for (let step = 0; step < 600; step += 1) {
    if (step % 90 === 0) {
      const value = buildWireConfiguration({ version: 2 + step });
      store.writeRow(TABLES.operator, CONFIGURATION_KEY, value);
    }
    await clock.advanceAsync(CHECK_MS);
    ages.push(followers.configuration.readAgeMs());
  }
  followers.configuration.stop();
  followers.servers.stop();
  t.true(Math.max(...ages) <= changeMs, `${Math.max(...ages)} ms`);
});
