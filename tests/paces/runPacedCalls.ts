import { buildPaceReader } from '../../src/application/forwarding/_lib/buildPaceReader';
import { buildFleetReader } from '../../src/application/forwarding/_lib/buildFleetReader';
import type { ServerDirectory } from '../../src/application/forwarding';
import { createServerPaces, type ServerPaces } from '../../src/application/paces';
import { chooseServerByLoad } from '../../src/domain/forwarding';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../standins/fakes';
import {
  createSimulatedDirectory,
  SIMULATED_SERVICE,
  SIMULATED_ZONE_COUNT,
} from '../../standins/model/createSimulatedDirectory';
import { createSimulatedFleet } from '../../standins/model/createSimulatedFleet';

/** Calls that several VMs send to servers of different speeds. */
export interface PacedCalls {
  readonly seed: number;
  /** Speed of each server; 1 takes `CALL_MS` for a call. */
  readonly speeds: readonly number[];
  /** Calls, as a fraction of what the servers can do on average. */
  readonly utilization: number;
  readonly vms: number;
  readonly durationMs: number;
  /** Whether the servers state how long work takes. */
  readonly statesFactor: boolean;
  /** Servers by index that join the others later, and when. */
  readonly joinsAtMs?: ReadonlyMap<number, number>;
  /** Spells of slowness are left out, but for these: by index of the server, from when on. */
  readonly onlySpells?: ReadonlyMap<number, number>;
  /** Whether VMs know the load of the fleet. */
  readonly knowsFleet?: boolean;
  /** By how much the demand of each zone waves, as a fraction; zones alternate. */
  readonly demandWave?: number;
  /** Time that a call to another zone takes longer. */
  readonly crossingMs?: number;
}

/** One answered call. */
export interface PacedCall {
  readonly server: number;
  readonly sentAtMs: number;
  readonly tookMs: number;
}

const CALL_MS = 21;
const SLOTS = 6;
const HOP_MS = 1;
const SLOW_FACTOR = 2.5;
const SPELL_MS = 600;
const WAVE_MS = 10_000;
const SLOW_FRACTION = 0.15;
const USUAL_FRACTION = 1 - SLOW_FRACTION + SLOW_FRACTION / SLOW_FACTOR;

/** Runs the calls in virtual time. Every VM sees only the answers to its own calls. */
export const runPacedCalls = async (options: PacedCalls): Promise<readonly PacedCall[]> => {
  const { durationMs, joinsAtMs, onlySpells, seed, speeds, statesFactor, vms } = options;
  const clock = createFakeClock();
  const { readFraction } = createSeededRandomness(seed);
  // Spells do not depend on the calls, so that two runs of one seed have the same ones.
  const spells = createSeededRandomness(seed + 1000);
  const drawExponential = (mean: number, randomness = { readFraction }): number =>
    -mean * Math.log(1 - randomness.readFraction());
  const calls: PacedCall[] = [];

  const servers = speeds.map((speed, index) => {
    const state = { factor: 1, running: 0, queue: [] as (() => void)[] };
    const startSpell = (): void => {
      state.factor = SLOW_FACTOR;
      clock.startTimer(SPELL_MS, () => {
        state.factor = 1;
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        if (!onlySpells) scheduleSpell();
      });
    };
    const scheduleSpell = (): void => {
      clock.startTimer(drawExponential(SPELL_MS / SLOW_FRACTION - SPELL_MS, spells), startSpell);
    };
    const spellAtMs = onlySpells?.get(index);
    if (!onlySpells) scheduleSpell();
    else if (spellAtMs !== undefined) clock.startTimer(spellAtMs, startSpell);
    const start = (handleEnd: () => void): void => {
      state.running += 1;
      const workMs = (CALL_MS * (0.7 + 0.6 * readFraction()) * state.factor) / speed;
      clock.startTimer(workMs, () => {
        state.running -= 1;
        const next = state.queue.shift();
        if (next) start(next);
        handleEnd();
      });
    };
    const readLoad = () => ({
      running: state.running,
      waiting: state.queue.length,
      slots: SLOTS,
      workFactor: statesFactor ? state.factor : null,
    });
    const accept = (handleEnd: () => void): void => {
      if (state.running < SLOTS) start(handleEnd);
      else state.queue.push(handleEnd);
    };
    return { accept, readLoad };
  });

  const listIds = (isListed: (index: number) => boolean): string[] =>
    speeds.map((_, index) => `e-${index}`).filter((_, index) => isListed(index));
  const directories: { readonly directory: ServerDirectory; readonly paces: ServerPaces }[] =
    Array.from({ length: vms }, () => ({
      directory: createSimulatedDirectory(
        clock,
        listIds((index) => !joinsAtMs?.has(index)),
      ),
      paces: createServerPaces({ clock }),
    }));
  joinsAtMs?.forEach((atMs, joining) =>
    clock.startTimer(atMs, () =>
      directories.forEach(({ directory }) =>
        directory.applyRows([{ key: `e-${joining}`, value: Buffer.from('x'), version: 2 }], {
          source: 'store',
          outageEndedAtMs: null,
          ageMs: 0,
          isRestored: false,
        }),
      ),
    ),
  );

  const fleet = createSimulatedFleet({
    sources: directories.map(({ directory, paces }) => ({
      isEnabled: (service) => options.knowsFleet === true && paces.isUneven(service),
      readRequests: (service) =>
        new Map(directory.listServing(service).map(({ entry, running }) => [entry.id, running])),
    })),
    roundTripMs: 2 * HOP_MS,
    crossingMs: options.crossingMs ?? 0,
    clock,
    randomness: createSeededRandomness(seed + 2000),
    log: QUIET_LOG,
  });

  /** Draws the VM of a call; the demand of a zone waves, that of all zones stays the same. */
  const drawVm = (): number => {
    const { demandWave = 0 } = options;
    const nowMs = clock.readMonotonicMs();
    for (;;) {
      const vm = Math.floor(readFraction() * vms);
      const phase = nowMs / WAVE_MS + (vm % SIMULATED_ZONE_COUNT) / SIMULATED_ZONE_COUNT;
      const demand = 1 + demandWave * Math.sin(2 * Math.PI * phase);
      if (demandWave === 0 || readFraction() * (1 + demandWave) < demand) return vm;
    }
  };

  const sendCall = (): void => {
    const vm = drawVm();
    const { directory, paces } = directories[vm] as (typeof directories)[number];
    const fleetLoad = fleet.get(`vm-${vm}`);
    if (!fleetLoad) throw new Error('no such VM');
    fleetLoad.recordArrival(SIMULATED_SERVICE);
    const sentAtMs = clock.readMonotonicMs();
    const status = chooseServerByLoad(directory.listServing(SIMULATED_SERVICE), {
      excludedIds: new Set(),
      avoidedZone: null,
      preferredZone: `z${vm % SIMULATED_ZONE_COUNT}`,
      draw: readFraction(),
      readPace: buildPaceReader(paces, SIMULATED_SERVICE, 'callMs'),
      fleet: buildFleetReader(fleetLoad, paces, SIMULATED_SERVICE),
    });
    if (!status) throw new Error('no server was chosen');
    const { id } = status.entry;
    const index = Number(id.slice(2));
    const isCrossing = status.entry.availabilityZone !== `z${vm % SIMULATED_ZONE_COUNT}`;
    const hopMs = HOP_MS + (isCrossing ? (options.crossingMs ?? 0) / 2 : 0);
    const work = directory.startWork(id, { prefillTokens: 0 });
    const server = servers[index] as (typeof servers)[number];
    const handleAnswer = (load: ReturnType<typeof server.readLoad>): void => {
      const tookMs = clock.readMonotonicMs() - sentAtMs;
      const paced = { service: SIMULATED_SERVICE, incarnation: id };
      directory.recordLoad(id, load);
      if (load.workFactor !== null) paces.recordWorkFactor(paced, load.workFactor);
      paces.record(paced, { kind: 'call', tookMs, workFactor: load.workFactor ?? 1 });
      work.release();
      calls.push({ server: index, sentAtMs, tookMs });
    };
    clock.startTimer(hopMs, () =>
      server.accept(() => {
        const load = server.readLoad();
        clock.startTimer(hopMs, () => handleAnswer(load));
      }),
    );
  };

  const totalSpeed = speeds.reduce((sum, speed) => sum + speed, 0);
  const callsPerMs = ((totalSpeed * SLOTS) / CALL_MS) * USUAL_FRACTION * options.utilization;
  const scheduleCall = (): void => {
    clock.startTimer(drawExponential(1 / callsPerMs), () => {
      if (clock.readMonotonicMs() > durationMs) return;
      scheduleCall();
      sendCall();
    });
  };
  scheduleCall();
  if (options.knowsFleet) await clock.advanceAsync(durationMs);
  fleet.forEach((one) => one.stop());
  clock.advance(durationMs + 5000 - clock.readMonotonicMs());
  return calls;
};
