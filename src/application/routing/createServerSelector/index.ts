import { findWorkClassPolicy } from '../../../domain/admission';
import { chooseServer, estimateFirstTokenMs } from '../../../domain/routing';
import type { Demand } from '../../../domain/types';
import type { Clock, Randomness, Slot, SlotOutcome } from '../../ports';
import type { QualityTracker } from '../createQualityTracker';
import type { ServiceMeter } from '../createServiceMeter';
import { createSlot } from '../createSlot';
import type { ReadyPool, ReadyServer, RouterLoadView } from '../types';

/** Added to the priority of a resume, so that the engines serve it before new work of its class. */
const RESUME_PRIORITY = 5;

/** What placing needs. */
export interface ServerSelectorDependencies {
  readonly load: RouterLoadView;
  readonly meter: ServiceMeter;
  readonly quality: QualityTracker;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** A server chosen for a demand. */
export interface SelectedServer {
  readonly ready: ReadyServer;
  readonly firstTokenMs: number;
  readonly cachedTokens: number;
  readonly running: number;
}

/** Chooses servers by their estimated time to the first token, and hands out their slots. */
export interface ServerSelector {
  /** Chooses a server with room, or null. */
  selectServer(demand: Demand, ready: ReadyPool): SelectedServer | null;
  /** Takes the slot on the chosen server. */
  acquireSlot(demand: Demand, placed: SelectedServer): Slot;
}

/**
 * Servers with room that one decision compares. The best of so many is close to the best of all,
 * and the cost of a decision stays the same however many there are. Those with a cached prefix
 * are always among them.
 */
const MAX_SCORED = 48;

/** The servers that are compared, as columns. */
interface ScoreColumns {
  readonly positions: number[];
  readonly firstTokenMs: number[];
  readonly load: number[];
}

function createColumns(): ScoreColumns {
  return { positions: [], firstTokenMs: [], load: [] };
}

const NO_CACHED_TOKENS: ReadonlyMap<string, number> = new Map();

/** Creates the placement of demands on servers. */
export function createServerSelector(dependencies: ServerSelectorDependencies): ServerSelector {
  const { load, meter, quality, clock, randomness } = dependencies;

  const recordOutcome = (
    demand: Demand,
    { ready: { server, capacity, group }, cachedTokens, running }: SelectedServer,
    sentMs: number,
    { outcome, firstTokenMs, outputTokens }: SlotOutcome,
  ): void => {
    if (outcome === 'not-started') load.recordServerFull(server.name, capacity.slots + 1);
    if (outcome === 'finished' || outcome === 'failed') {
      quality.recordAttempt(server.name, outcome === 'failed');
    }
    meter.recordAttempt({
      service: demand.service,
      workspace: demand.workspace,
      group,
      holdMs: clock.readMonotonicMs() - sentMs,
      firstTokenMs,
      uncachedTokens: demand.promptTokens - cachedTokens,
      outputTokens,
      finished: outcome === 'finished',
      unqueued: running < capacity.slots,
    });
    // Last, because it wakes those who wait, and they are judged by the measures above.
    load.recordEnd(server.name, clock.readMonotonicMs() - sentMs);
  };

  return {
    selectServer: (demand, pool) => {
      const { servers, groups, zones } = pool;
      const { workClass, excludedServers, promptTokens, prefixes } = demand;
      const { isServedFirst } = findWorkClassPolicy(workClass);
      const cached = prefixes.length > 0 ? load.findCachedTokens(prefixes) : NO_CACHED_TOKENS;
      const holdMs = meter.readHoldMs(demand.service);
      const prefills = groups.map((group) => meter.readPrefillMsPerToken(demand.service, group));
      const zonesMs = zones.map(load.readZoneRoundTripMs);
      const columns = createColumns();
      const addServer = (position: number): void => {
        const ready = servers[position];
        if (ready === undefined) return;
        const { running } = ready.runningEstimate;
        if (running >= ready.requestLimits[workClass]) return;
        const { name } = ready.server;
        if (excludedServers.length > 0 && excludedServers.includes(name)) return;
        const { slots } = ready.capacity;
        columns.positions.push(position);
        columns.load.push(running / slots);
        columns.firstTokenMs.push(
          estimateFirstTokenMs({
            running,
            slots,
            holdMs,
            skipsQueue: isServedFirst,
            promptTokens,
            cachedTokens: cached.size > 0 ? (cached.get(name) ?? 0) : 0,
            prefillMsPerToken: prefills[ready.groupIndex] ?? 0,
            zoneRoundTripMs: zonesMs[ready.zoneIndex] ?? 0,
            speed: ready.speedEstimate.speed,
          }),
        );
      };
      cached.forEach((_, name) => addServer(pool.positions.get(name) ?? -1));
      const start = Math.floor(randomness.readFraction() * servers.length);
      for (let step = 0; step < servers.length; step += 1) {
        if (columns.positions.length >= MAX_SCORED) break;
        addServer((start + step) % servers.length);
      }
      const chosen = chooseServer(columns, randomness.readFraction(), randomness.readFraction());
      const ready = servers[columns.positions[chosen] ?? -1];
      if (ready === undefined) return null;
      return {
        ready,
        firstTokenMs: columns.firstTokenMs[chosen] ?? 0,
        cachedTokens: cached.get(ready.server.name) ?? 0,
        running: ready.runningEstimate.running,
      };
    },
    acquireSlot: (demand, placed) => {
      const { server } = placed.ready;
      const sentMs = clock.readMonotonicMs();
      const priority =
        findWorkClassPolicy(demand.workClass).enginePriority +
        (demand.purpose === 'resume' ? RESUME_PRIORITY : 0);
      load.recordSend(server.name, demand.prefixes);
      return createSlot(server, priority, (outcome) =>
        recordOutcome(demand, placed, sentMs, outcome),
      );
    },
  };
}
