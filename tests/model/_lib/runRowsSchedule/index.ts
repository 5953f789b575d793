import { createSeededRandomness } from '../../../../standins/fakes';
import { createRowsFleet, type RowsVm, type RowsFleet } from '../../../../standins/rows';
import type { EventLog } from '../../../../src/application/ports';
import { listRowsViolations, type AcknowledgedChange } from '../listRowsViolations';

/** Options of a random schedule of changes and disturbances. */
export interface ScheduleOptions {
  readonly seed: number;
  /** Whether the store may be restored from an older copy. */
  readonly hasRestores?: boolean;
  readonly log?: (vm: string) => EventLog;
}

/** Outcome of a schedule. */
export interface ScheduleResult {
  /** The first violations of the rules. */
  readonly violations: readonly string[];
  readonly steps: readonly string[];
  readonly calls: number;
}

const BOUNDS = [
  { changeMs: 4000, settleMs: 5000 },
  { changeMs: 3000, settleMs: 4000 },
] as const;

const ZONES = ['z1', 'z1', 'z1', 'z2', 'z2'];
const CHECK_INTERVAL_MS = 100;
/** Time after the last disturbance during which changes continue. */
const CALM_MS = 12_000;
const DISTURBED_MS = 22_000;
const STEPS = 30;

/** Most changes that a copy lacks, and the longest time until a lost row is written again. */
const MAX_LOST = 9;
const MAX_REWRITE_MS = 1500;

interface Step {
  readonly atMs: number;
  readonly name: string;
  readonly run: () => void;
}

/** Runs a random schedule in virtual time and checks the rules after each step. */
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
  /** Last disturbed time of each VM and the store; Infinity during a disturbance. */
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
  /** Adds the begin and the end of a disturbance; `disturbed` is the VM or the store, if any. */
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
      const directions = pick(['in', 'out', 'both'] as const);
      const setLinks = (isCut: boolean): void =>
        world.vms.forEach(({ name }) => {
          if (directions !== 'out') world.setLink(name, vm.name, isCut);
          if (directions !== 'in') world.setLink(vm.name, name, isCut);
        });
      addSpan(
        `${vm.name} cut off from VMs, ${directions}`,
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

  /** Restores the store from a copy; the last value of each lost row is written again later. */
  const restoreStore = (): void => {
    const lost = store.restoreSnapshot(draw(1, MAX_LOST));
    // A store that is silent stays disturbed.
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
  const isSettled = (vm: RowsVm): boolean =>
    [vm.name, STORE].every(
      (name) => (disturbedMs.get(name) ?? -Infinity) <= clock.readMonotonicMs() - bounds.settleMs,
    );
  const violations: string[] = [];
  const remaining = [...steps];
  while (clock.readMonotonicMs() < DISTURBED_MS + CALM_MS + 6000 && violations.length === 0) {
    const nowMs = clock.readMonotonicMs();
    const nextMs = Math.min(
      nowMs + CHECK_INTERVAL_MS,
      Math.max(nowMs, remaining[0]?.atMs ?? Infinity),
    );
    await clock.advanceAsync(nextMs - nowMs);
    while (remaining[0] && remaining[0].atMs <= nextMs) remaining.shift()?.run();
    violations.push(
      ...listRowsViolations({ world, changes, changeMs: bounds.changeMs, isSettled }),
    );
  }
  world.vms.forEach((vm) => vm.kill());
  return {
    violations: violations.slice(0, 3),
    steps: steps.map(({ name }) => name),
    calls: store.countCalls(),
  };
};
