import { findClassPolicy } from '../../../domain/admission';
import { chooseServer, estimateFirstTokenMs } from '../../../domain/routing';
import type { ScoredServer } from '../../../domain/routing';
import type { Demand } from '../../../domain/types';
import type { Clock, Randomness, Slot, SlotOutcome } from '../../ports';
import type { QualityTracker } from '../createQualityTracker';
import type { ServiceMeter } from '../createServiceMeter';
import { createSlot } from '../createSlot';
import type { ReadyPool, ReadyServer, RoutingLoad } from '../types';

/** Added to the priority of a resume, so that the engines serve it before new work of its class. */
const RESUME_PRIORITY = 5;

/** What placing needs. */
export interface PlacementDependencies {
  readonly load: RoutingLoad;
  readonly meter: ServiceMeter;
  readonly quality: QualityTracker;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** A server chosen for a demand. */
export interface Placed {
  readonly ready: ReadyServer;
  readonly firstTokenMs: number;
  readonly cachedTokens: number;
  readonly running: number;
}

/** Chooses servers by their estimated time to the first token, and hands out their slots. */
export interface Placement {
  /** Chooses a server with room, or null. */
  findServer(demand: Demand, ready: ReadyPool): Placed | null;
  /** Takes the slot on the chosen server. */
  acquirePlaced(demand: Demand, placed: Placed): Slot;
}

const NO_CACHED_TOKENS: ReadonlyMap<string, number> = new Map();

/** Creates the placement of demands on servers. */
export function createPlacement(dependencies: PlacementDependencies): Placement {
  const { load, meter, quality, clock, randomness } = dependencies;

  const recordOutcome = (
    demand: Demand,
    { ready: { server, room }, cachedTokens, running }: Placed,
    sentMs: number,
    { outcome, firstTokenMs, outputTokens }: SlotOutcome,
  ): void => {
    if (outcome === 'not-started') load.recordFull(server.name, room.slots + 1);
    if (outcome === 'finished' || outcome === 'failed') {
      quality.recordAttempt(server.name, outcome === 'failed');
    }
    meter.recordAttempt({
      service: demand.service,
      workspace: demand.workspace,
      holdMs: clock.readMonotonicMs() - sentMs,
      firstTokenMs,
      uncachedTokens: demand.promptTokens - cachedTokens,
      outputTokens,
      finished: outcome === 'finished',
      unqueued: running < room.slots,
    });
    // Last, because it wakes those who wait, and they are judged by the measures above.
    load.recordEnd(server.name);
  };

  return {
    findServer: (demand, { servers }) => {
      const policy = findClassPolicy(demand.workClass);
      const cached =
        demand.prefixes.length > 0 ? load.findCachedTokens(demand.prefixes) : NO_CACHED_TOKENS;
      const holdMs = meter.readHoldMs(demand.service);
      const prefillMsPerToken = meter.readPrefillMsPerToken(demand.service);
      const scored: ScoredServer[] = [];
      servers.forEach(({ server, room }, index) => {
        const running = load.estimateRunning(server.name);
        if (running >= policy.computeLimit(room)) return;
        if (demand.excludedServers.includes(server.name)) return;
        const firstTokenMs = estimateFirstTokenMs({
          running,
          slots: room.slots,
          holdMs,
          overtakes: policy.mayHedge,
          promptTokens: demand.promptTokens,
          cachedTokens: cached.get(server.name) ?? 0,
          prefillMsPerToken,
          zoneMs: load.readZoneMs(server.availabilityZone),
          speed: quality.readSpeed(server.name),
        });
        scored.push({ index, firstTokenMs, load: running / room.slots });
      });
      const chosen = chooseServer(scored, randomness.readFraction(), randomness.readFraction());
      const ready = chosen === null ? undefined : servers[chosen.index];
      if (chosen === null || ready === undefined) return null;
      return {
        ready,
        firstTokenMs: chosen.firstTokenMs,
        cachedTokens: cached.get(ready.server.name) ?? 0,
        running: load.estimateRunning(ready.server.name),
      };
    },
    acquirePlaced: (demand, placed) => {
      const { server } = placed.ready;
      const sentMs = clock.readMonotonicMs();
      const priority =
        findClassPolicy(demand.workClass).enginePriority +
        (demand.purpose === 'resume' ? RESUME_PRIORITY : 0);
      load.recordSend(server.name, demand.prefixes);
      return createSlot(server, priority, (outcome) =>
        recordOutcome(demand, placed, sentMs, outcome),
      );
    },
  };
}
