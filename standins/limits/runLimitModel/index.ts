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
import { LimitPolicy, type LimitArrival, type LimitModel, type LimitModelResult } from '../types';

const ZONES = 3;

/** Time of a message between VMs, and to a server and back. */
const MIN_CALL_MS = 1;
const CALL_SPREAD_MS = 6;
const ANSWER_MS = 30;

/** An ask that takes longer is given up. */
const ASK_TIMEOUT_MS = 40;

/** News reaches each VM by way of others. */
const TOLD_MS = 300;

/** A VM that is gone is counted by others for so long. */
const MEMBER_AGE_MS = 12_000;

/** A VM counts as in trouble for this long after its end. */
const CONTACT_MS = 3000;

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
  isCut: boolean;
}

/** Plays requests for limited servers over the gateways' own permits in virtual time. */
export const runLimitModel = async (model: LimitModel): Promise<LimitModelResult> => {
  const { durationMs = 24_000, limitFromMs = 6000, limitUntilMs = Infinity } = model;
  const policy = model.policy ?? LimitPolicy.Confirmed;
  const clock = createFakeClock();
  const randomness = createSeededRandomness(model.seed);
  const draw = (): number => randomness.readFraction();
  const arrivals: LimitArrival[][] = model.limitsPerS.map(() => []);
  const toldAtMs = model.limitsPerS.map(() => new Map<string, number>());
  const vms: Vm[] = [];
  let calls = 0;
  const excuses: { readonly vm: string; readonly fromMs: number; readonly untilMs: number }[] = [];

  const isReachable = ({ downSinceMs, isCut }: Vm): boolean => downSinceMs === null && !isCut;
  const listPeers = (self: string): readonly LimitPeer[] =>
    vms
      .filter(({ name }) => name !== self)
      .filter(
        ({ downSinceMs, startedAtMs }) =>
          clock.readMonotonicMs() - startedAtMs > TOLD_MS &&
          clock.readMonotonicMs() - (downSinceMs ?? Infinity) < MEMBER_AGE_MS,
      )
      .map(({ name, zone }) => ({ vm: name, address: name, availabilityZone: zone }));
  const find = (name: string): Vm | undefined => vms.find((vm) => vm.name === name);
  const callMs = (): number => MIN_CALL_MS + draw() * CALL_SPREAD_MS;

  const callVm = <T>(from: Vm, to: string, run: (vm: Vm) => T): Promise<T | null> =>
    new Promise((resolve) => {
      calls += 1;
      let isOver = false;
      const end = (answer: T | null): void => {
        if (!isOver) resolve(answer);
        isOver = true;
      };
      clock.startTimer(ASK_TIMEOUT_MS, () => end(null));
      clock.startTimer(callMs(), () => {
        const vm = find(to);
        if (!vm || !isReachable(vm) || !isReachable(from)) return;
        const answer = run(vm);
        clock.startTimer(callMs(), () => end(answer));
      });
    });

  const buildParts = (vm: Vm): Pick<Vm, 'owner' | 'limits' | 'permits'> => {
    const limits: ServerLimits = createServerLimits({
      clock,
      log: QUIET_LOG,
      publishLimit: (limit) =>
        vms
          .filter((other) => other !== vm)
          .forEach((other) =>
            clock.startTimer(draw() * TOLD_MS, () => {
              if (isReachable(other) && isReachable(vm)) other.limits.mergeLimit(limit);
            }),
          ),
    });
    const owner = createLimitOwner({ clock, limits, randomness });
    const peersOf: Record<LimitPolicy, () => readonly LimitPeer[]> = {
      [LimitPolicy.Confirmed]: () => listPeers(vm.name),
      [LimitPolicy.OneOwner]: () => listPeers(vm.name),
      [LimitPolicy.EvenParts]: () => [],
      [LimitPolicy.Alone]: () => [],
    };
    const scale = policy === LimitPolicy.EvenParts ? 1 / model.vms : 1;
    const permits = createPermitClient({
      self: { vm: vm.name, availabilityZone: vm.zone },
      listPeers: peersOf[policy],
      askPeer: (address, request) =>
        policy === LimitPolicy.OneOwner && request.isConfirmation
          ? Promise.resolve({ isGranted: true, waitMs: 0 })
          : callVm(vm, address, (other) => other.owner.handlePermitRequest(request)),
      notifyReleased: (address, server) => {
        callVm(vm, address, (other) => other.owner.releasePermit(server));
      },
      owner,
      limits: {
        readLimitPerS: (server) => {
          const limitPerS = limits.readLimitPerS(server);
          return limitPerS === null ? null : limitPerS * scale;
        },
      },
      clock,
      log: QUIET_LOG,
    });
    return { limits, owner, permits };
  };

  const startVm = (name: string, zone: string): void => {
    const vm = { name, zone, downSinceMs: null, isCut: false } as Vm;
    vms.push(vm);
    Object.assign(vm, buildParts(vm), { startedAtMs: clock.readMonotonicMs() });
  };

  /** A VM that starts asks another one at once for what it knows. */
  const learnLimits = (vm: Vm): void => {
    clock.startTimer(callMs(), () => {
      const other = vms.find((one) => one !== vm && isReachable(one));
      other?.limits.listLimits().forEach(vm.limits.mergeLimit);
    });
  };

  const waitUntilOf = new Map<string, number>();
  const sendRequest = async (vm: Vm, index: number): Promise<void> => {
    const server = `i-${index}`;
    const key = `${vm.name} ${server}`;
    if ((waitUntilOf.get(key) ?? 0) > clock.readMonotonicMs()) return;
    const permit: Permit | number = await vm.permits.acquirePermit(server);
    if (vm.downSinceMs !== null) return;
    if (typeof permit === 'number') {
      waitUntilOf.set(key, clock.readMonotonicMs() + permit);
      return;
    }
    const sentAtMs = clock.readMonotonicMs();
    clock.startTimer(callMs(), () => {
      const atMs = clock.readMonotonicMs();
      arrivals[index]?.push({ atMs, vm: vm.name });
      const isNamed = atMs >= limitFromMs && atMs < limitUntilMs;
      const limitPerS = isNamed ? (model.limitsPerS[index] ?? null) : null;
      clock.startTimer(ANSWER_MS, () => {
        if (vm.downSinceMs !== null) return;
        vm.limits.recordAdvertisedLimit(server, { limitPerS, sentAtMs });
        if (limitPerS !== null && !toldAtMs[index]?.has(vm.name)) {
          toldAtMs[index]?.set(vm.name, clock.readMonotonicMs());
        }
      });
    });
  };

  Array.from({ length: model.vms }, (_, index) => startVm(`vm-${index}`, `z${index % ZONES}`));
  (model.troubles ?? []).forEach(({ fromMs, kind, part, untilMs }) => {
    const names = Array.from({ length: Math.ceil(part * model.vms) }, (_, index) => index);
    names.forEach((index) => {
      if (kind === 'join') {
        clock.startTimer(fromMs, () => {
          startVm(`new-${index}`, `z${index % ZONES}`);
          learnLimits(vms.at(-1) as Vm);
        });
        excuses.push({ vm: `new-${index}`, fromMs, untilMs: fromMs + CONTACT_MS });
        return;
      }
      const vm = vms[index] as Vm;
      excuses.push({ vm: vm.name, fromMs, untilMs: untilMs + CONTACT_MS });
      clock.startTimer(fromMs, () => {
        if (kind === 'cut') vm.isCut = true;
        else vm.downSinceMs = clock.readMonotonicMs();
      });
      clock.startTimer(untilMs, () => {
        vm.isCut = false;
        vm.downSinceMs = null;
        if (kind === 'restart') {
          Object.assign(vm, buildParts(vm), { startedAtMs: clock.readMonotonicMs() });
          learnLimits(vm);
        }
      });
    });
  });

  const startRequests = (index: number): void => {
    const next = (): void => {
      const up = vms.filter(({ downSinceMs }) => downSinceMs === null);
      const vm = up[Math.floor(draw() * up.length)];
      if (vm) sendRequest(vm, index);
      const gapMs = (-Math.log(1 - draw()) * MS_PER_S) / model.requestsPerS;
      clock.startTimer(gapMs, next);
    };
    clock.startTimer(0, next);
  };
  model.limitsPerS.forEach((_, index) => startRequests(index));
  await clock.advanceAsync(durationMs);
  return {
    arrivals,
    calls,
    toldAtMs,
    isExcused: (vm, atMs) =>
      excuses.some((one) => one.vm === vm && atMs >= one.fromMs && atMs < one.untilMs),
  };
};
