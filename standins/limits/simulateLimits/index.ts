import {
  createLimitOwner,
  createPermitClient,
  createServerLimits,
  type LimitOwner,
  type LimitPeer,
  type Permit,
  type PermitClient,
  type ServerLimits,
} from '../../../src/application/limits';
import type { Clock } from '../../../src/application/ports';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';
import {
  LimitPolicy,
  type LimitArrival,
  type LimitSimulation,
  type LimitSimulationResult,
} from '../types';

const ZONE_COUNT = 3;

/** Delay of a message between VMs or to a server, and of a server's answer. */
const MIN_CALL_MS = 1;
const CALL_SPREAD_MS = 6;
const ANSWER_MS = 30;

/** Timeout of a call between VMs. */
const ASK_TIMEOUT_MS = 40;

/** Gossip takes up to this long to reach every VM. */
const PROPAGATION_MS = 300;

/** Other VMs count a lost VM as a member for this long. */
const MEMBER_EXPIRY_MS = 12_000;

/** A VM counts as affected for this long after the end of a fault. */
const RECOVERY_MS = 3000;

const MS_PER_S = 1000;

interface Vm {
  readonly name: string;
  readonly zone: string;
  clock: Clock;
  limits: ServerLimits;
  owner: LimitOwner;
  permits: PermitClient;
  startedAtMs: number;
  downSinceMs: number | null;
  isPartitioned: boolean;
}

/** Simulates requests for limited servers in virtual time, with the production permit code. */
export const simulateLimits = async (model: LimitSimulation): Promise<LimitSimulationResult> => {
  const { durationMs = 24_000, limitFromMs = 6000, limitUntilMs = Infinity } = model;
  const policy = model.policy ?? LimitPolicy.Confirmed;
  const clock = createFakeClock();
  const randomness = createSeededRandomness(model.seed);
  const ids = createSeededRandomness(model.seed + 1);
  const drawFraction = (): number => randomness.readFraction();
  const arrivals: LimitArrival[][] = model.limitsPerS.map(() => []);
  const limitLearnedAtMs = model.limitsPerS.map(() => new Map<string, number>());
  const vms: Vm[] = [];
  let calls = 0;
  const affectedPeriods: {
    readonly vm: string;
    readonly fromMs: number;
    readonly untilMs: number;
  }[] = [];

  const isReachable = ({ downSinceMs, isPartitioned }: Vm): boolean =>
    downSinceMs === null && !isPartitioned;
  const listPeers = (self: string): readonly LimitPeer[] =>
    vms
      .filter(({ name }) => name !== self)
      .filter(
        ({ downSinceMs, startedAtMs }) =>
          clock.readMonotonicMs() - startedAtMs > PROPAGATION_MS &&
          clock.readMonotonicMs() - (downSinceMs ?? Infinity) < MEMBER_EXPIRY_MS,
      )
      .map(({ name, zone }) => ({ vm: name, address: name, availabilityZone: zone }));
  const findVm = (name: string): Vm | undefined => vms.find((vm) => vm.name === name);
  const drawCallMs = (): number => MIN_CALL_MS + drawFraction() * CALL_SPREAD_MS;

  const callVm = <T>(from: Vm, to: string, run: (vm: Vm) => T): Promise<T | null> =>
    new Promise((resolve) => {
      calls += 1;
      let isOver = false;
      const end = (answer: T | null): void => {
        if (!isOver) resolve(answer);
        isOver = true;
      };
      clock.startTimer(ASK_TIMEOUT_MS, () => end(null));
      clock.startTimer(drawCallMs(), () => {
        const vm = findVm(to);
        if (!vm || !isReachable(vm) || !isReachable(from)) return;
        const answer = run(vm);
        clock.startTimer(drawCallMs(), () => end(answer));
      });
    });

  const createComponents = (vm: Vm): Pick<Vm, 'owner' | 'limits' | 'permits'> => {
    const limits: ServerLimits = createServerLimits({
      clock,
      log: QUIET_LOG,
      publishLimit: (limit) =>
        vms
          .filter((other) => other !== vm)
          .forEach((other) =>
            clock.startTimer(drawFraction() * PROPAGATION_MS, () => {
              if (isReachable(other) && isReachable(vm)) other.limits.mergeLimit(limit);
            }),
          ),
    });
    const owner = createLimitOwner({ clock, limits, randomness });
    const listPeersByPolicy: Record<LimitPolicy, () => readonly LimitPeer[]> = {
      [LimitPolicy.Confirmed]: () => listPeers(vm.name),
      [LimitPolicy.UnconfirmedOwner]: () => listPeers(vm.name),
      [LimitPolicy.EqualShares]: () => [],
      [LimitPolicy.Uncoordinated]: () => [],
    };
    const scale = policy === LimitPolicy.EqualShares ? 1 / model.vms : 1;
    const permits = createPermitClient({
      self: { vm: vm.name, availabilityZone: vm.zone },
      listPeers: listPeersByPolicy[policy],
      askPeer: (address, request) =>
        policy === LimitPolicy.UnconfirmedOwner && request.isConfirmation
          ? Promise.resolve({ isGranted: true, waitMs: 0 })
          : callVm(vm, address, (other) => other.owner.handlePermitRequest(request)),
      notifyReleased: (address, release) => {
        callVm(vm, address, (other) => other.owner.releasePermit(release));
      },
      owner,
      limits: {
        readLimitPerS: (server) => {
          const limitPerS = limits.readLimitPerS(server);
          return limitPerS === null ? null : limitPerS * scale;
        },
      },
      clock,
      randomness: ids,
      log: QUIET_LOG,
    });
    return { limits, owner, permits };
  };

  const startVm = (name: string, zone: string): void => {
    const vm = { name, zone, downSinceMs: null, isPartitioned: false } as Vm;
    vms.push(vm);
    Object.assign(vm, createComponents(vm), { startedAtMs: clock.readMonotonicMs() });
  };

  /** Copies the limits known to another VM, as a starting VM does. */
  const fetchLimitsFromPeer = (vm: Vm): void => {
    clock.startTimer(drawCallMs(), () => {
      const other = vms.find((one) => one !== vm && isReachable(one));
      other?.limits.listLimits().forEach(vm.limits.mergeLimit);
    });
  };

  const waitUntilByVmAndServer = new Map<string, number>();
  const sendRequest = async (vm: Vm, index: number): Promise<void> => {
    const server = `i-${index}`;
    const key = `${vm.name} ${server}`;
    if ((waitUntilByVmAndServer.get(key) ?? 0) > clock.readMonotonicMs()) return;
    const permit: Permit | number = await vm.permits.acquirePermit(server);
    if (vm.downSinceMs !== null) return;
    if (typeof permit === 'number') {
      waitUntilByVmAndServer.set(key, clock.readMonotonicMs() + permit);
      return;
    }
    const sentAtMs = clock.readMonotonicMs();
    clock.startTimer(drawCallMs(), () => {
      const atMs = clock.readMonotonicMs();
      arrivals[index]?.push({ atMs, vm: vm.name });
      const isNamed = atMs >= limitFromMs && atMs < limitUntilMs;
      const limitPerS = isNamed ? (model.limitsPerS[index] ?? null) : null;
      clock.startTimer(ANSWER_MS, () => {
        if (vm.downSinceMs !== null) return;
        vm.limits.recordAdvertisedLimit(server, { limitPerS, maxRejectionsPerS: null, sentAtMs });
        if (limitPerS !== null && !limitLearnedAtMs[index]?.has(vm.name)) {
          limitLearnedAtMs[index]?.set(vm.name, clock.readMonotonicMs());
        }
      });
    });
  };

  Array.from({ length: model.vms }, (_, index) => startVm(`vm-${index}`, `z${index % ZONE_COUNT}`));
  (model.faults ?? []).forEach(({ fromMs, kind, fraction, untilMs }) => {
    const names = Array.from({ length: Math.ceil(fraction * model.vms) }, (_, index) => index);
    names.forEach((index) => {
      if (kind === 'join') {
        clock.startTimer(fromMs, () => {
          startVm(`new-${index}`, `z${index % ZONE_COUNT}`);
          fetchLimitsFromPeer(vms.at(-1) as Vm);
        });
        affectedPeriods.push({ vm: `new-${index}`, fromMs, untilMs: fromMs + RECOVERY_MS });
        return;
      }
      const vm = vms[index] as Vm;
      affectedPeriods.push({ vm: vm.name, fromMs, untilMs: untilMs + RECOVERY_MS });
      clock.startTimer(fromMs, () => {
        if (kind === 'cut') vm.isPartitioned = true;
        else vm.downSinceMs = clock.readMonotonicMs();
      });
      clock.startTimer(untilMs, () => {
        vm.isPartitioned = false;
        vm.downSinceMs = null;
        if (kind === 'restart') {
          Object.assign(vm, createComponents(vm), { startedAtMs: clock.readMonotonicMs() });
          fetchLimitsFromPeer(vm);
        }
      });
    });
  });

  const startRequests = (index: number): void => {
    const next = (): void => {
      const up = vms.filter(({ downSinceMs }) => downSinceMs === null);
      const vm = up[Math.floor(drawFraction() * up.length)];
      if (vm) sendRequest(vm, index);
      const gapMs = (-Math.log(1 - drawFraction()) * MS_PER_S) / model.requestsPerS;
      clock.startTimer(gapMs, next);
    };
    clock.startTimer(0, next);
  };
  model.limitsPerS.forEach((_, index) => startRequests(index));
  await clock.advanceAsync(durationMs);
  return {
    arrivals,
    calls,
    limitLearnedAtMs,
    isAffected: (vm, atMs) =>
      affectedPeriods.some((one) => one.vm === vm && atMs >= one.fromMs && atMs < one.untilMs),
  };
};
