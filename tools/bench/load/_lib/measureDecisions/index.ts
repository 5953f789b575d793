import { build } from 'hdr-histogram-js';
import { createHealthRegistry } from '../../../../../src/application/health';
import { createLoadView, createRouter } from '../../../../../src/application/routing';
import { createSystemClock } from '../../../../../src/adapters/system';
import type { BackendServer, Demand, LoadReport } from '../../../../../src/domain/types';
import type { DeploymentShape } from '../../types';
import { buildBenchConfiguration } from '../buildBenchConfiguration';
import { createSeededRandomness } from '../createSeededRandomness';
import { listWorkspaces } from '../planArrivals';

/** Number of backend servers that a decision chooses from. */
const BACKEND_SERVERS = 600;

const DECISIONS = 20_000;
const WARM_UP_DECISIONS = 2000;

/** Number of prefixes of a prompt, and of servers that have all of them cached. */
const PREFIXES = 16;
const SERVERS_WITH_PREFIXES = 8;

const NS_PER_US = 1000;

/** Times of decisions, in microseconds. */
export interface DecisionTimes {
  readonly backEnds: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

function buildReport(server: BackendServer, running: number): LoadReport {
  return {
    backendServer: server.name,
    sequence: 1,
    running,
    waiting: 0,
    slots: server.slots,
    cacheUse: 0.5,
    tokensPerSecond: 100,
    models: server.services.map((model) => ({ model, version: '1', adapter: '' })),
    role: 'serve',
    leaving: false,
    fencingToken: 0,
    ageMs: 0,
    receivedAtMs: 0,
  };
}

/** Measures routing decisions over 600 backend servers with reports, peers' sends and caches. */
export async function measureDecisions(shape: DeploymentShape): Promise<DecisionTimes> {
  const clock = createSystemClock();
  const load = createLoadView({ clock });
  const sized = { ...shape, long: { ...shape.long, count: BACKEND_SERVERS - shape.lookup.count } };
  const configuration = buildBenchConfiguration(sized, new Map());
  const current = { version: 1, configuration, appliedAtMs: 0, appliedBy: '', comment: '' };
  const router = createRouter({
    configuration: { readCurrent: () => current, addListener: () => () => {} },
    health: createHealthRegistry({ vm: 'entry-1' }),
    load,
    decisions: { record: () => {}, listDecisions: () => [] },
    clock,
    randomness: createSeededRandomness(1),
  });
  const prefixes = Array.from({ length: PREFIXES }, (_, index) => `prefix-${index}`);
  configuration.backendServers.forEach((server, index) => {
    load.recordReport(buildReport(server, index % server.slots));
    load.recordPeerSends(`entry-${index % 7}`, [{ backendServer: server.name, running: 1 }]);
    const held = index < SERVERS_WITH_PREFIXES ? prefixes : [];
    load.recordCacheEvents(server.name, [{ sequence: 1, kind: 'stored', prefixes: held }]);
  });
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const { signal } = new AbortController();
  const names = listWorkspaces();
  for (let index = 0; index < WARM_UP_DECISIONS + DECISIONS; index += 1) {
    const demand: Demand = {
      requestId: `req-${index}`,
      workspace: names[index % names.length] ?? '',
      service: index % 2 === 0 ? shape.longService : shape.lookupService,
      workClass: index % 2 === 0 ? 'long' : 'lookup',
      purpose: 'start',
      prefixes,
      promptTokens: 1000,
      maxOutputTokens: 256,
      excludedServers: [],
      deadlineMs: clock.readMonotonicMs() + 5000,
    };
    const startNs = process.hrtime.bigint();
    const slot = await router.acquireSlot(demand, signal);
    const tookNs = Number(process.hrtime.bigint() - startNs);
    if (index >= WARM_UP_DECISIONS) histogram.recordValue(Math.round(tookNs));
    slot.map((value) => value.release({ outcome: 'finished', firstTokenMs: 50, outputTokens: 20 }));
  }
  return {
    backEnds: BACKEND_SERVERS,
    p50Us: histogram.getValueAtPercentile(50) / NS_PER_US,
    p99Us: histogram.getValueAtPercentile(99) / NS_PER_US,
  };
}
