import {
  createRoomClient,
  createRoomOwner,
  type RoomClient,
  type RoomOwner,
} from '../../../src/application/limits';
import type { Clock } from '../../../src/application/ports';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../fakes';

/** Calls of many VMs to brittle servers, in virtual time. */
export interface RoomSimulation {
  readonly vms: number;
  readonly servers: number;
  readonly slots: number;
  readonly serviceMs: number;
  readonly maxRejectionsPerS: number;
  /** Load relative to what the servers have room for. */
  readonly overload: number;
  readonly durationMs: number;
  readonly seed: number;
  /** Whether VMs ask for room; without it they send at once. */
  readonly asksForRoom?: boolean;
  /** Times at which a VM restarts and forgets what it has granted. */
  readonly restartsAtMs?: readonly number[];
  /** Part of the VMs that reach no other VM, from a third of the time to two thirds. */
  readonly partitionedShare?: number;
}

/** What came of the calls. */
export interface RoomSimulationResult {
  readonly falls: number;
  readonly rejected: number;
  /** Part of the room of the servers that was used. */
  readonly usedShare: number;
  /** Calls between VMs for each served call. */
  readonly callsPerServed: number;
}

/** Delay of a message between VMs or to a server. */
const MIN_MESSAGE_MS = 1;
const MESSAGE_SPREAD_MS = 6;

/** Timeout of a question, besides the time for which the owner holds it. */
const ASK_TIMEOUT_MS = 40;

const WAIT_MS = 50;
const CALL_DEADLINE_MS = 2000;
const FALL_MS = 2000;
const MS_PER_S = 1000;
const ZONES = 3;

interface Vm {
  readonly name: string;
  readonly availabilityZone: string;
  readonly runningByServer: Map<string, number>;
  owner: RoomOwner;
  client: RoomClient;
  isPartitioned: boolean;
}

/** A server without a queue that falls over if it has to reject too many requests. */
const createServer = (clock: Clock, { maxRejectionsPerS, serviceMs, slots }: RoomSimulation) => {
  let running = 0;
  let rejectedAtMs: readonly number[] = [];
  let downUntilMs = -Infinity;
  const counts = { falls: 0, rejected: 0, served: 0 };
  const reject = (): void => {
    const nowMs = clock.readMonotonicMs();
    counts.rejected += 1;
    rejectedAtMs = [...rejectedAtMs.filter((atMs) => atMs > nowMs - MS_PER_S), nowMs];
    if (rejectedAtMs.length <= maxRejectionsPerS) return;
    counts.falls += 1;
    rejectedAtMs = [];
    downUntilMs = nowMs + FALL_MS;
  };
  const handle = (answer: (outcome: 'rejected' | 'served' | 'down') => void): void => {
    if (clock.readMonotonicMs() < downUntilMs) {
      answer('down');
    } else if (running >= slots) {
      reject();
      answer('rejected');
    } else {
      running += 1;
      clock.startTimer(serviceMs, () => {
        running -= 1;
        counts.served += 1;
        answer('served');
      });
    }
  };
  return { counts, handle };
};

/** Simulates calls to brittle servers with the production code that acquires room. */
export const simulateRooms = async (model: RoomSimulation): Promise<RoomSimulationResult> => {
  const { asksForRoom = true, durationMs, partitionedShare = 0, restartsAtMs = [] } = model;
  const clock = createFakeClock();
  const randomness = createSeededRandomness(model.seed);
  const ids = Array.from({ length: model.servers }, (_, index) => `i-${index}`);
  const servers = new Map(ids.map((id) => [id, createServer(clock, model)]));
  const vms: Vm[] = [];
  let messages = 0;

  const drawDelayMs = (): number => MIN_MESSAGE_MS + randomness.readFraction() * MESSAGE_SPREAD_MS;

  const callVm = <T>(from: Vm, to: string, waitMs: number, run: (owner: RoomOwner) => T) =>
    new Promise<Awaited<T> | null>((resolve) => {
      messages += 1;
      const target = vms.find(({ name }) => name === to);
      clock.startTimer(waitMs + ASK_TIMEOUT_MS, () => resolve(null));
      if (!target || target.isPartitioned || from.isPartitioned) return;
      clock.startTimer(drawDelayMs(), async () => {
        const answer = await run(target.owner);
        clock.startTimer(drawDelayMs(), () => resolve(answer));
      });
    });

  const startVm = (vm: Vm): void => {
    const owner = createRoomOwner({ clock, randomness });
    const client = createRoomClient({
      self: { vm: vm.name, availabilityZone: vm.availabilityZone },
      listPeers: () =>
        vms
          .filter((other) => other !== vm)
          .map(({ availabilityZone, name }) => ({ vm: name, address: name, availabilityZone })),
      askPeer: (address, request) =>
        callVm(vm, address, request.waitMs, (peer) => peer.handleRoomRequest(request)),
      releaseAtPeer: async (address, release) => {
        const sent = callVm(vm, address, 0, (peer) => peer.releaseRoom(release) ?? true);
        return (await sent) !== null;
      },
      owner,
      limits: { readMaxRejectionsPerS: () => (asksForRoom ? model.maxRejectionsPerS : null) },
      readServer: (id) => ({ slots: model.slots, running: vm.runningByServer.get(id) ?? 0 }),
      clock,
      randomness,
      log: QUIET_LOG,
    });
    Object.assign(vm, { owner, client });
  };

  const sendCall = async (vm: Vm): Promise<void> => {
    const id = ids[Math.floor(randomness.readFraction() * ids.length)] ?? '';
    const room = await vm.client.acquireRoom(id, { leftMs: CALL_DEADLINE_MS, waitMs: WAIT_MS });
    if (typeof room === 'number') return;
    const addRunning = (change: number): void => {
      vm.runningByServer.set(id, (vm.runningByServer.get(id) ?? 0) + change);
    };
    addRunning(1);
    clock.startTimer(drawDelayMs(), () =>
      servers.get(id)?.handle((outcome) =>
        clock.startTimer(drawDelayMs(), () => {
          addRunning(-1);
          room.release({ isRejected: outcome === 'rejected' });
        }),
      ),
    );
  };

  for (let index = 0; index < model.vms; index += 1) {
    const vm = {
      name: `vm-${index}`,
      availabilityZone: `z${index % ZONES}`,
      runningByServer: new Map<string, number>(),
      isPartitioned: false,
    } as Vm;
    vms.push(vm);
    startVm(vm);
  }
  const capacityPerMs = (model.servers * model.slots) / model.serviceMs;
  const drawGapMs = (): number =>
    -Math.log(1 - randomness.readFraction()) / (capacityPerMs * model.overload);
  const startArrivals = (): void => {
    clock.startTimer(drawGapMs(), () => {
      const vm = vms[Math.floor(randomness.readFraction() * vms.length)];
      if (vm) sendCall(vm);
      startArrivals();
    });
  };
  startArrivals();
  restartsAtMs.forEach((atMs, index) =>
    clock.startTimer(atMs, () => {
      const vm = vms[(index * 7) % vms.length];
      if (vm) startVm(vm);
    }),
  );
  const partitioned = vms.slice(0, Math.floor(vms.length * partitionedShare));
  const setPartitioned = (isPartitioned: boolean) => (): void =>
    partitioned.forEach((vm) => Object.assign(vm, { isPartitioned }));
  clock.startTimer(durationMs / 3, setPartitioned(true));
  clock.startTimer((2 * durationMs) / 3, setPartitioned(false));
  await clock.advanceAsync(durationMs);

  const counts = [...servers.values()].map((server) => server.counts);
  const sum = (read: (one: (typeof counts)[number]) => number): number =>
    counts.reduce((total, one) => total + read(one), 0);
  const served = sum((one) => one.served);
  return {
    falls: sum((one) => one.falls),
    rejected: sum((one) => one.rejected),
    usedShare: served / (capacityPerMs * durationMs),
    callsPerServed: messages / served,
  };
};
