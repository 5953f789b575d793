import { request } from 'undici';
import { createHttpEngineClient } from '../../../../../src/adapters/engine';
import { createSystemClock } from '../../../../../src/adapters/system';
import type { StandInEngineOptions } from '../../../../../standins/engine';
import { PhaseFault } from '../../types';
import type { DeploymentShape, Phase, PhaseMetrics } from '../../types';
import {
  buildBenchConfiguration,
  listGroupServers,
  LOOKUP_RESERVE,
} from '../buildBenchConfiguration';
import { computePhaseMetrics } from '../computePhaseMetrics';
import { createBenchEntry } from '../createBenchEntry';
import type { PolicyName } from '../createBenchEntry';
import { createSeededRandomness } from '../createSeededRandomness';
import { planArrivals } from '../planArrivals';
import { runPhase } from '../runPhase';
import { startEngineHost } from '../startEngineHost';
import { startExchange } from '../startExchange';

/** Lag of the engines' load reports and cache events. */
const LAG_MS = 500;

const CACHE_GAP_EVERY = 20;
const CACHE_ENTRIES = 120;
const ENGINE_QUEUE_LIMIT = 64;
const SLOW_MULTIPLIER = 4;

/** Options of the run of a policy. */
export interface PolicyOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly warmUpSeconds: number;
  readonly phases: readonly Phase[];
}

function listEngineOptions(shape: DeploymentShape): readonly StandInEngineOptions[] {
  return [shape.long, shape.lookup].flatMap((group) =>
    listGroupServers(group, shape.zones).map(({ name }) => ({
      name,
      slots: group.slots,
      firstTokenMs: group.firstTokenMs,
      gapMs: group.gapMs,
      queueLimit: ENGINE_QUEUE_LIMIT,
      loadLagMs: LAG_MS,
      cacheLagMs: LAG_MS,
      cacheGapEvery: CACHE_GAP_EVERY,
      cacheEntries: CACHE_ENTRIES,
      models: group.services.map((model) => ({ model, version: '1', adapter: '' })),
    })),
  );
}

/** Calls the control interface of one engine. */
async function sendControl(url: string, path: string, body: object): Promise<void> {
  const answer = await request(`${url}/control/${path}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  await answer.body.dump();
}

/** Computes a seed from the name of a phase, so that all policies get the same arrivals. */
function computePhaseSeed({ name }: Phase): number {
  return [...name].reduce((sum, character) => (sum * 31 + character.charCodeAt(0)) % 997, 0);
}

/** Runs all phases under one policy on separate engines; returns the metrics of each phase. */
export async function runPolicy(
  shape: DeploymentShape,
  policy: PolicyName,
  options: PolicyOptions,
): Promise<readonly PhaseMetrics[]> {
  const clock = createSystemClock();
  const host = await startEngineHost(listEngineOptions(shape));
  const engines = createHttpEngineClient({ clock });
  const configuration = buildBenchConfiguration(shape, host.urls);
  const zones = shape.zones.flatMap((zone) => Array<string>(shape.entriesPerZone).fill(zone));
  const vms = zones.map((_, index) => `entry-${index + 1}`);
  const current = { version: 1, configuration, appliedAtMs: 0, appliedBy: '', comment: '' };
  const { zoneRoundTripMs, clientRoundTripMs } = shape;
  const entries = zones.map((zone, index) =>
    createBenchEntry({
      vm: vms[index] ?? '',
      vms,
      zone,
      seed: options.seed + index,
      policy,
      current,
      engines,
      zoneRoundTripMs,
      clock,
    }),
  );
  const stopExchange = startExchange(entries, clock);
  const faultyUrl = host.urls.get(`${shape.long.prefix}-1`) ?? '';
  const startFault: Readonly<Record<PhaseFault, () => () => void>> = {
    none: () => () => {},
    slow: () => {
      sendControl(faultyUrl, 'slow', { multiplier: SLOW_MULTIPLIER });
      return () => sendControl(faultyUrl, 'slow', { multiplier: 1 });
    },
    lost: () => {
      const atMs = ((options.seconds + options.warmUpSeconds) / 2) * 1000;
      return clock.startTimer(atMs, () => sendControl(faultyUrl, 'fault/kill', {}));
    },
  };
  const metrics: PhaseMetrics[] = [];
  for (let index = 0; index < options.phases.length; index += 1) {
    const phase = options.phases[index]!;
    const randomness = createSeededRandomness(options.seed * 1000 + computePhaseSeed(phase));
    const planned = { seconds: options.seconds, lookupReserve: LOOKUP_RESERVE };
    const arrivals = planArrivals(shape, phase, planned, randomness);
    const stopFault = startFault[phase.fault]();
    const records = await runPhase(arrivals, entries, clock, { ...options, clientRoundTripMs });
    stopFault();
    metrics.push(computePhaseMetrics(phase.name, records));
  }
  stopExchange();
  entries.forEach(({ poller }) => poller.stop());
  await engines.close();
  await host.stop();
  return metrics;
}
