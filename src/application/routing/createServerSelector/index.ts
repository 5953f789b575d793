import { findWorkClassPolicy } from '../../../domain/admission';
import { chooseServer, estimateFirstTokenMs } from '../../../domain/routing';
import type { Demand } from '../../../domain/types';
import type { Clock, Randomness, Slot, SlotOutcome } from '../../ports';
import type { QualityTracker } from '../createQualityTracker';
import type { ServiceMeter } from '../createServiceMeter';
import { createSlot } from '../createSlot';
import type { ReadyPool, ReadyServer, RouterLoadView } from '../types';

/** Added to the priority of a resume, so that engines serve it before new requests of its class. */
const RESUME_PRIORITY = 5;

/** Dependencies of the server selector. */
export interface ServerSelectorDependencies {
  readonly load: RouterLoadView;
  readonly meter: ServiceMeter;
  readonly quality: QualityTracker;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** A server selected for a demand, with the estimates behind the selection. */
export interface SelectedServer {
  readonly ready: ReadyServer;
  /** Estimated time to the first token, in milliseconds. */
  readonly firstTokenMs: number;
  readonly cachedTokens: number;
  readonly running: number;
}

/** Selects servers by their estimated time to the first token and allocates their slots. */
export interface ServerSelector {
  /** Selects a server with free capacity; null if there is none. */
  selectServer(demand: Demand, ready: ReadyPool): SelectedServer | null;
  /** Allocates a slot on the selected server. */
  acquireSlot(demand: Demand, selected: SelectedServer): Slot;
}

/**
 * Limit of the servers scored per decision, which bounds its cost in a large fleet. The best of
 * this sample is close to the best of all. Servers with a cached prefix are scored first.
 */
const MAX_SCORED_SERVERS = 48;

/** Estimates of the servers under consideration, as parallel arrays. */
interface ScoreColumns {
  readonly positions: number[];
  readonly firstTokenMs: number[];
  readonly load: number[];
}

function createColumns(): ScoreColumns {
  return { positions: [], firstTokenMs: [], load: [] };
}

const NO_CACHED_TOKENS: ReadonlyMap<string, number> = new Map();

/** Creates the server selector. */
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
    // Last: this call serves waiting demands, whose estimates use the measurements above.
    load.recordEnd(server.name, clock.readMonotonicMs() - sentMs);
  };

  return {
    selectServer: (demand, pool) => {
      const { servers, groups, zones } = pool;
      const { workClass, excludedServers, promptTokens, prefixes } = demand;
      const { isServedFirst } = findWorkClassPolicy(workClass);
      const cached = prefixes.length > 0 ? load.findCachedTokens(prefixes) : NO_CACHED_TOKENS;
      const holdMs = meter.readHoldMs(demand.service);
      const prefillsMsPerToken = groups.map((group) =>
        meter.readPrefillMsPerToken(demand.service, group),
      );
      const zoneRoundTripsMs = zones.map(load.readZoneRoundTripMs);
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
            prefillMsPerToken: prefillsMsPerToken[ready.groupIndex] ?? 0,
            zoneRoundTripMs: zoneRoundTripsMs[ready.zoneIndex] ?? 0,
            speed: ready.speedEstimate.speed,
          }),
        );
      };
      cached.forEach((_, name) => addServer(pool.positions.get(name) ?? -1));
      const start = Math.floor(randomness.readFraction() * servers.length);
      for (let step = 0; step < servers.length; step += 1) {
        if (columns.positions.length >= MAX_SCORED_SERVERS) break;
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
    acquireSlot: (demand, selected) => {
      const { server } = selected.ready;
      const sentMs = clock.readMonotonicMs();
      const priority =
        findWorkClassPolicy(demand.workClass).enginePriority +
        (demand.purpose === 'resume' ? RESUME_PRIORITY : 0);
      load.recordSend(server.name, demand.prefixes);
      return createSlot(server, priority, (outcome) =>
        recordOutcome(demand, selected, sentMs, outcome),
      );
    },
  };
}
