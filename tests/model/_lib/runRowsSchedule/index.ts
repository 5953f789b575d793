import { createSeededRandomness } from '../../../../standins/fakes';
import { createRowsFleet, type RowsVm, type RowsFleet } from '../../../../standins/rows';
import type { EventLog } from '../../../../src/application/ports';
import { listRowsViolations, type AcknowledgedChange } from '../listRowsViolations';

/** A schedule of changes and disturbances, drawn from its seed. */
export interface ScheduleOptions {
  readonly seed: number;
  /** True: the store may come back from a copy. */
  readonly hasRestores?: boolean;
  readonly log?: (vm: string) => EventLog;
}

/** What a play showed. */
export interface ScheduleResult {
  /** What did not hold, the first ones. */
  readonly broken: readonly string[];
  readonly steps: readonly string[];
  readonly calls: number;
}

const BOUNDS = [
  { changeMs: 4000, settleMs: 5000 },
  { changeMs: 3000, settleMs: 4000 },
] as const;

const ZONES = ['z1', 'z1', 'z1', 'z2', 'z2'];
const LOOK_MS = 100;
/** Changes go on for so long after the last disturbance has ended. */
const CALM_MS = 12_000;
const DISTURBED_MS = 22_000;
const STEPS = 30;

/** Changes that a copy lacks at the most, and the time until they are written again. */
const MAX_LOST = 9;
const MAX_REWRITE_MS = 1500;

interface Step {
  readonly atMs: number;
  readonly name: string;
  readonly run: () => void;
}

/** Plays a schedule. */
export const runRowsSchedule = async ({
  hasRestores = false,
  log,
  seed,
}: ScheduleOptions): Promise<ScheduleResult> => {
  const randomness = createSeededRandomness(seed);
  const draw = (least: number, most: number): number =>
    Math.floor(least + randomness.readFraction() * (most - least));
  const pick = <T>(items: readonly T[]): T => items[draw(0, items.length)] as T;
  const bounds = pick(BOUNDS);
  const world: RowsFleet = createRowsFleet({ seed, bounds, zones: ZONES, ...(log ? { log } : {}) });
  const { clock, store } = world;
  const changes: AcknowledgedChange[] = [];
  /** When each VM, and the store, was disturbed last; Infinity while it is. */
  const disturbedMs = new Map<string, number>();
  const STORE = 'store';

  const write = (table: string, key: string, value: object | null): void => {
    store.writeRow(table, key, value);
    changes.push({ table, version: store.readVersion(), atMs: clock.readMonotonicMs() });
  };

  const steps: Step[] = [];
  const add = (atMs: number, name: string, run: () => void): void => {
    steps.push({ atMs, name: `${atMs} ${name}`, run });
  };
  /** A disturbance of a VM or the store, and its end. */
  const addSpan = (
    name: string,
    disturbed: string | null,
    begin: () => void,
    end: () => void,
  ): void => {
    const fromMs = draw(3000, DISTURBED_MS);
    const untilMs = Math.min(DISTURBED_MS, fromMs + draw(100, 7000));
    add(fromMs, name, () => {
      if (disturbed) disturbedMs.set(disturbed, Infinity);
      begin();
    });
    add(untilMs, `end of ${name}`, () => {
      end();
      if (disturbed) disturbedMs.set(disturbed, clock.readMonotonicMs());
    });
  };

  const pickVm = (): RowsVm => pick(world.vms);
  const DISTURBANCES: readonly (() => void)[] = [
    () => {
      const vm = pickVm();
      const how = pick(['stopped', 'suspended'] as const);
      addSpan(`${vm.name} ${how}`, vm.name, () => vm.clock.pause(how), vm.clock.resume);
    },
    () => {
      const vm = pickVm();
      const path = pick(['lost', 'refused'] as const);
      addSpan(
        `${vm.name} store ${path}`,
        vm.name,
        () => vm.store.setReachability(path),
        () => vm.store.setReachability('open'),
      );
    },
    () => {
      const vm = pickVm();
      const delayMs = draw(20, 500);
      addSpan(
        `${vm.name} store late by ${delayMs}`,
        vm.name,
        () => vm.store.setDelay(delayMs),
        () => vm.store.setDelay(0),
      );
    },
    () =>
      addSpan(
        'store silent',
        STORE,
        () => store.setSilent(true),
        () => store.setSilent(false),
      ),
    () => {
      const [from, to] = [pickVm().name, pickVm().name];
      addSpan(
        `link ${from} to ${to} cut`,
        null,
        () => world.setLink(from, to, true),
        () => world.setLink(from, to, false),
      );
    },
    () => {
      const vm = pickVm();
      const ways = pick(['in', 'out', 'both'] as const);
      const setLinks = (isCut: boolean): void =>
        world.vms.forEach(({ name }) => {
          if (ways !== 'out') world.setLink(name, vm.name, isCut);
          if (ways !== 'in') world.setLink(vm.name, name, isCut);
        });
      addSpan(
        `${vm.name} cut off from VMs, ${ways}`,
        null,
        () => setLinks(true),
        () => setLinks(false),
      );
    },
    () => {
      const delayMs = draw(50, 3000);
      addSpan(
        `links late by ${delayMs}`,
        null,
        () => world.setLinkDelay(delayMs),
        () => world.setLinkDelay(0),
      );
    },
    () => {
      const vm = pickVm();
      add(draw(3000, DISTURBED_MS), `${vm.name} killed`, vm.kill);
    },
    () =>
      add(draw(3000, DISTURBED_MS), 'a VM joins', () => {
        const vm = world.addVm(pick(ZONES));
        disturbedMs.set(vm.name, clock.readMonotonicMs());
      }),
    () =>
      add(draw(3000, DISTURBED_MS), 'history dropped', () => {
        store.dropHistory();
      }),
  ];

  /** What was lost is written again a little later, as it stood last. */
  const restoreStore = (): void => {
    const lost = store.restoreSnapshot(draw(1, MAX_LOST));
    // While it is silent it stays disturbed.
    disturbedMs.set(STORE, Math.max(disturbedMs.get(STORE) ?? 0, clock.readMonotonicMs()));
    const last = new Map(lost.map((row) => [`${row.table}/${row.key}`, row]));
    last.forEach(({ key, table, value }) =>
      clock.startTimer(draw(50, MAX_REWRITE_MS), () =>
        write(table, key, value === null ? null : (JSON.parse(value.toString('utf8')) as object)),
      ),
    );
  };
  const addRestores = (): void => {
    for (let count = draw(1, 4); count > 0; count -= 1) {
      add(draw(3000, DISTURBED_MS), 'store restored', restoreStore);
    }
  };

  world.vms.forEach((vm) => disturbedMs.set(vm.name, 0));
  write('op', 'config', { version: 1 });
  write('servers', 's0', { version: 1 });
  for (let count = draw(1, 7); count > 0; count -= 1) pick(DISTURBANCES)();
  if (hasRestores) addRestores();
  for (let count = 0; count < STEPS; count += 1) {
    const key = `s${draw(0, 4)}`;
    const isRemoved = randomness.readFraction() < 0.4;
    const table = pick(['op', 'servers', 'servers', 'other'] as const);
    add(draw(500, DISTURBED_MS + CALM_MS), `change of ${table}`, () => {
      if (table === 'op') write('op', 'config', { version: count });
      else write(table, key, isRemoved ? null : { count });
    });
  }

  steps.sort((one, other) => one.atMs - other.atMs);
  const isInTouch = (vm: RowsVm): boolean =>
    [vm.name, STORE].every(
      (name) => (disturbedMs.get(name) ?? -Infinity) <= clock.readMonotonicMs() - bounds.settleMs,
    );
  const broken: string[] = [];
  const left = [...steps];
  while (clock.readMonotonicMs() < DISTURBED_MS + CALM_MS + 6000 && broken.length === 0) {
    const nowMs = clock.readMonotonicMs();
    const nextMs = Math.min(nowMs + LOOK_MS, Math.max(nowMs, left[0]?.atMs ?? Infinity));
    await clock.advanceAsync(nextMs - nowMs);
    while (left[0] && left[0].atMs <= nextMs) left.shift()?.run();
    broken.push(...listRowsViolations({ world, changes, changeMs: bounds.changeMs, isInTouch }));
  }
  world.vms.forEach((vm) => vm.kill());
  return {
    broken: broken.slice(0, 3),
    steps: steps.map(({ name }) => name),
    calls: store.countCalls(),
  };
};
