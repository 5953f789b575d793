import { err } from 'neverthrow';
import {
  createRetryBudget,
  createRetryLender,
  type RetryBudget,
  type RetryLender,
} from '../../../src/application/forwarding';
import { countFixedRetries } from '../../../src/domain/retry';
import { createShareLease, type ShareLease } from '../../../src/application/shares';
import type { RowWriter, RowSource } from '../../../src/application/ports';
import { createFakeClock, createSeededRandomness, NO_RETRY_METER, QUIET_LOG } from '../../fakes';
import { createVirtualStore } from '../../gateway';
import { createVmClock, type VmClock } from '../../rows';
import { findRetryExcess } from '../findRetryExcess';
import type { RetryExcess, RetryPlay, RetryTrouble } from '../types';

/** What a simulation has shown. */
export interface RetryPlayResult extends RetryExcess {
  readonly requests: number;
  readonly granted: number;
  readonly wanted: number;
  readonly storeCalls: number;
}

const BOUNDS = { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 };

/** Time after which what one VM used may be used by another one. */
const COOLDOWN_MS = 13_000;

const STEP_MS = 100;
const TROUBLE_EVERY_MS = 4000;
const RESTART_MS = { min: 300, spread: 3000 };
const MAX_REQUEST_DELAY_MS = 200;

/** Longer than a lease and what follows it. */
const MAX_SUSPENSION_MS = 150_000;

interface SimulatedVm {
  readonly name: string;
  readonly retries: RetryBudget;
  readonly lender: RetryLender;
  readonly share: ShareLease;
  isAlive: boolean;
  isCutFromStore: boolean;
  /** VMs of another side are neither counted nor asked. */
  side: number;
  readonly clock: VmClock;
  isSuspended: boolean;
}

/** Simulates VMs that retry all they may, and counts the arrivals at the servers of one service. */
export const simulateRetries = async (play: RetryPlay): Promise<RetryPlayResult> => {
  const world = createFakeClock();
  const randomness = createSeededRandomness(play.seed);
  const store = createVirtualStore(world);
  const drawIndex = (count: number): number => Math.floor(randomness.readFraction() * count);
  const requestsAtMs: number[] = [];
  const repeatsAtMs: number[] = [];
  const vms = new Map<string, SimulatedVm>();
  let names = 0;
  let wanted = 0;

  const listLive = (): SimulatedVm[] =>
    [...vms.values()].filter(({ isAlive, isSuspended }) => isAlive && !isSuspended);

  const buildStore = (read: () => SimulatedVm): Pick<RowSource, 'readRows'> & RowWriter => {
    const isCut = (): boolean => read().isCutFromStore || !read().isAlive;
    const failure = err({ kind: 'unavailable', reason: 'cut' } as const);
    return {
      readRows: async (table, options, signal) =>
        isCut() ? failure : store.readRows(table, options, signal),
      changeRows: async (changes) => {
        if (isCut()) return failure;
        const written = await store.changeRows(changes);
        // The answer is lost, though the change was made.
        const isLost = play.troubles.includes('store cuts') && randomness.readFraction() < 0.2;
        return isLost ? failure : written;
      },
    };
  };

  const startVm = (name: string, isFirstStart: boolean): void => {
    const self = (): SimulatedVm => vms.get(name) as SimulatedVm;
    const clock = createVmClock(world);
    const listPeers = (): SimulatedVm[] =>
      listLive().filter((vm) => vm.name !== name && vm.side === self().side);
    // Bound to this process: one that starts again under the same name is another one.
    const process = { current: null as SimulatedVm | null };
    const share = createShareLease({
      vm: name,
      isFirstStart,
      cooldownMs: COOLDOWN_MS,
      totalParts: countFixedRetries(BOUNDS),
      table: 'shares',
      store: buildStore(() => process.current as SimulatedVm),
      countVms: () => listPeers().length + 1,
      clock,
      randomness,
      log: QUIET_LOG,
    });
    const retries = createRetryBudget({
      bounds: BOUNDS,
      clock,
      meter: NO_RETRY_METER,
      countFixed: share.countParts,
    });
    const lender = createRetryLender({
      clock,
      retries,
      log: QUIET_LOG,
      meter: NO_RETRY_METER,
      pickPeers: (count) => {
        const peers = listPeers();
        return Array.from({ length: count }, () => peers[drawIndex(peers.length)]?.name ?? '');
      },
      askPeer: async (peer, service) => vms.get(peer)?.lender.lendRetry(service) ?? false,
    });
    const vm: SimulatedVm = {
      ...{ clock, name, retries, lender, share },
      ...{ isAlive: true, isCutFromStore: false, isSuspended: false, side: 0 },
    };
    process.current = vm;
    vms.set(name, vm);
    share.start();
  };

  const killVm = (vm: SimulatedVm): void => {
    Object.assign(vm, { isAlive: false });
    vm.share.stop();
  };

  const suspendVm = (vm: SimulatedVm): void => {
    Object.assign(vm, { isSuspended: true });
    vm.clock.pause('suspended');
    world.startTimer(MAX_SUSPENSION_MS * randomness.readFraction(), () => {
      Object.assign(vm, { isSuspended: false });
      vm.clock.resume();
    });
  };

  const sendRequest = async (vm: SimulatedVm): Promise<void> => {
    vm.retries.recordRequest('s');
    for (let repeat = 0; repeat < play.repeatsWanted; repeat += 1) {
      wanted += 1;
      const retry = await vm.lender.acquireRetry('s');
      if (!retry) return;
      // It arrives also if its VM is killed meanwhile.
      world.startTimer(randomness.readFraction() * play.maxArrivalMs, () => {
        repeatsAtMs.push(world.readMonotonicMs());
        retry.finish();
      });
    }
  };

  const drawVms = (share: number): SimulatedVm[] => {
    const live = listLive();
    return live.filter(() => randomness.readFraction() < share).slice(0, live.length - 1);
  };

  const TROUBLES: Readonly<Record<RetryTrouble, () => void>> = {
    kills: () =>
      drawVms(0.5).forEach((vm) => {
        killVm(vm);
        const delayMs = RESTART_MS.min + RESTART_MS.spread * randomness.readFraction();
        world.startTimer(delayMs, () => startVm(vm.name, false));
      }),
    replacements: () =>
      drawVms(0.15).forEach((vm) => {
        killVm(vm);
        names += 1;
        startVm(`new-${names}`, false);
      }),
    'store cuts': () =>
      listLive().forEach((vm) =>
        Object.assign(vm, { isCutFromStore: randomness.readFraction() < 0.3 }),
      ),
    partitions: () => {
      const sides = 1 + drawIndex(4);
      listLive().forEach((vm) => Object.assign(vm, { side: drawIndex(sides) }));
    },
    'restored store': () => {
      store.restoreSnapshot(drawIndex(20));
    },
    suspensions: () => drawVms(0.3).forEach(suspendVm),
  };

  store.writeRow('op', 'config', {});
  Array.from({ length: play.vms }, (_, index) => startVm(`vm-${index}`, true));
  let troubleAtMs = 2 * TROUBLE_EVERY_MS;
  for (let atMs = 0; atMs < play.durationMs; atMs += STEP_MS) {
    const nowMs = world.readMonotonicMs();
    if (nowMs >= troubleAtMs) {
      troubleAtMs = nowMs + TROUBLE_EVERY_MS * (0.25 + 1.5 * randomness.readFraction());
      const trouble = play.troubles[drawIndex(play.troubles.length)];
      if (trouble) TROUBLES[trouble]();
    }
    // Bursts: for a while callers send several times as much, then nothing.
    const isBurst = Math.floor(nowMs / 3050) % 3 === 0;
    const mean = ((isBurst ? 3 : 0) * play.requestsPerS * STEP_MS) / 1000;
    const count = Math.floor(mean + randomness.readFraction());
    for (let sent = 0; sent < count; sent += 1) {
      requestsAtMs.push(nowMs);
      world.startTimer(MAX_REQUEST_DELAY_MS * randomness.readFraction(), () => {
        const live = listLive();
        const vm = live[drawIndex(live.length)];
        if (vm) sendRequest(vm);
      });
    }
    await world.advanceAsync(STEP_MS);
  }
  await world.advanceAsync(play.maxArrivalMs);
  [...vms.values()].forEach(({ share }) => share.stop());
  return {
    ...findRetryExcess({ requestsAtMs, repeatsAtMs }, BOUNDS),
    requests: requestsAtMs.length,
    granted: repeatsAtMs.length,
    wanted,
    storeCalls: store.countCalls(),
  };
};
