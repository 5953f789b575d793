import { createRequestArrivals, type AttemptArrival } from '../../../src/application/forwarding';
import { parseRowVersion } from '../../../src/domain/rows';
import { createFakeClock, createSeededRandomness } from '../../fakes';
import { createVirtualStore } from '../../gateway';
import { BOUNDS, createRetryVm, type RetryVm } from '../_lib/createRetryVm';
import { createStandingServers } from '../_lib/createStandingServers';
import { findRetryExcess } from '../findRetryExcess';
import type { RetryExcess, RetryPlay, RetryTrouble } from '../types';

/** What a simulation has shown. */
export interface RetryPlayResult extends RetryExcess {
  readonly requests: number;
  readonly granted: number;
  readonly wanted: number;
  readonly storeCalls: number;
}

const STEP_MS = 100;
const DEFAULT_TROUBLE_EVERY_MS = 4000;
const RESTART_MS = { min: 300, spread: 3000 };
const MAX_REQUEST_DELAY_MS = 200;

/** Longer than a lease and what follows it. */
const MAX_SUSPENSION_MS = 150_000;

/** VMs and servers stand still for up to this long. */
const MAX_STANDSTILL_MS = 9000;

/** An attempt that was not answered by then is given up. */
const ATTEMPT_MS = 500;

/** Simulates VMs that retry all they may, and counts the arrivals at the servers of one service. */
export const simulateRetries = async (play: RetryPlay): Promise<RetryPlayResult> => {
  const world = createFakeClock();
  const randomness = createSeededRandomness(play.seed);
  const store = createVirtualStore(world);
  const servers = createStandingServers(world, randomness);
  const drawIndex = (count: number): number => Math.floor(randomness.readFraction() * count);
  const requestsAtMs: number[] = [];
  const repeatsAtMs: number[] = [];
  const vms = new Map<string, RetryVm>();
  let names = 0;
  let wanted = 0;

  const listLive = (): RetryVm[] =>
    [...vms.values()].filter(({ isAlive, isSuspended }) => isAlive && !isSuspended);

  const startVm = (name: string, isFirstStart: boolean): void => {
    const vm = createRetryVm({
      ...{ name, isFirstStart, world, randomness, store },
      isAnswerLost: () => play.troubles.includes('store cuts') && randomness.readFraction() < 0.2,
      listPeers: (self) =>
        listLive().filter((one) => one.name !== name && one.side === self.side && !one.isStanding),
    });
    vms.set(name, vm);
  };

  const killVm = (vm: RetryVm): void => {
    Object.assign(vm, { isAlive: false });
    vm.share.stop();
    vm.dating.stop();
  };

  const suspendVm = (vm: RetryVm): void => {
    Object.assign(vm, { isSuspended: true });
    vm.clock.pause('suspended');
    world.startTimer(MAX_SUSPENSION_MS * randomness.readFraction(), () => {
      Object.assign(vm, { isSuspended: false });
      vm.clock.resume();
    });
  };

  const drawStandstillMs = (): number => MAX_STANDSTILL_MS * (0.5 + randomness.readFraction() / 2);

  const stopVm = (vm: RetryVm, durationMs: number): void => {
    Object.assign(vm, { isStanding: true });
    vm.clock.pause('stopped');
    world.startTimer(durationMs, () => {
      Object.assign(vm, { isStanding: false });
      if (vm.isAlive) vm.clock.resume();
    });
  };

  /** Sends one attempt of a request; it arrives also if its VM is killed meanwhile. */
  const sendAttempt = (vm: RetryVm, arrival: AttemptArrival, handleArrival: () => void): void => {
    const sentAtMs = vm.clock.readMonotonicMs();
    let isGivenUp = false;
    const server = servers.send(randomness.readFraction() * play.maxArrivalMs, (id) => {
      handleArrival();
      vm.clock.runInVm(() => {
        if (isGivenUp) return;
        vm.unread.recordAnswer({ server: id, relay: null }, sentAtMs);
        arrival.recordRead();
      });
    });
    vm.clock.startTimer(ATTEMPT_MS, () => {
      isGivenUp = true;
      arrival.recordGivenUp({ server, relay: null });
    });
  };

  const sendRequest = async (vm: RetryVm): Promise<void> => {
    let arrived = 0;
    const handleArrival = (): void => {
      arrived += 1;
      if (arrived > 1) repeatsAtMs.push(world.readMonotonicMs());
    };
    vm.retries.recordRequest('s', vm.dating.readSentSinceMs());
    const arrivals = createRequestArrivals(vm);
    sendAttempt(vm, arrivals.startAttempt(null), handleArrival);
    for (let repeat = 0; repeat < play.repeatsWanted; repeat += 1) {
      wanted += 1;
      const retry = await vm.lender.acquireRetry('s');
      if (!retry) return;
      sendAttempt(vm, arrivals.startAttempt(retry), handleArrival);
    }
  };

  const drawVms = (share: number): RetryVm[] => {
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
    'lost ledger': () => {
      // The first change is the configuration.
      store.restoreSnapshot(parseRowVersion(store.readVersion()).revision - 1);
    },
    suspensions: () => drawVms(0.3).forEach(suspendVm),
    'standing VMs': () => {
      const durationMs = drawStandstillMs();
      listLive()
        .filter(({ isStanding }) => !isStanding && randomness.readFraction() < 0.9)
        .forEach((vm) => stopVm(vm, durationMs));
    },
    'standing servers': () => servers.pauseSome(drawStandstillMs()),
  };

  store.writeRow('op', 'config', {});
  Array.from({ length: play.vms }, (_, index) => startVm(`vm-${index}`, true));
  const { troubleEveryMs = DEFAULT_TROUBLE_EVERY_MS } = play;
  let troubleAtMs = 2 * troubleEveryMs;
  for (let atMs = 0; atMs < play.durationMs; atMs += STEP_MS) {
    const nowMs = world.readMonotonicMs();
    if (nowMs >= troubleAtMs) {
      troubleAtMs = nowMs + troubleEveryMs * (0.25 + 1.5 * randomness.readFraction());
      const trouble = play.troubles[drawIndex(play.troubles.length)];
      if (trouble) TROUBLES[trouble]();
    }
    // Bursts: for a while callers send several times as much, then nothing.
    const isBurst = Math.floor(nowMs / 3050) % 3 === 0;
    const factor = play.hasBursts === false ? 1 : 3 * Number(isBurst);
    const mean = (factor * play.requestsPerS * STEP_MS) / 1000;
    const count = Math.floor(mean + randomness.readFraction());
    for (let sent = 0; sent < count; sent += 1) {
      requestsAtMs.push(nowMs);
      world.startTimer(MAX_REQUEST_DELAY_MS * randomness.readFraction(), () => {
        const live = listLive();
        const vm = live[drawIndex(live.length)];
        vm?.clock.runInVm(() => {
          if (vm.isAlive) sendRequest(vm);
        });
      });
    }
    await world.advanceAsync(STEP_MS);
  }
  await world.advanceAsync(Math.max(play.maxArrivalMs, MAX_STANDSTILL_MS));
  [...vms.values()].forEach(({ dating, share }) => {
    share.stop();
    dating.stop();
  });
  return {
    ...findRetryExcess({ requestsAtMs, repeatsAtMs }, BOUNDS),
    requests: requestsAtMs.length,
    granted: repeatsAtMs.length,
    wanted,
    storeCalls: store.countCalls(),
  };
};
