import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { FleetLoadView } from '../../../application/fleet-load';
import type { ForwardingMeter, RetryMeter, RetryUse } from '../../../application/forwarding';
import type { SchedulingMeter } from '../../../application/scheduling';
import { addFleetLoadGauges } from '../_lib/addFleetLoadGauges';
import { addGauge } from '../_lib/addGauge';
import { addProcessGauges } from '../_lib/addProcessGauges';
import { addRefusalGauge } from '../_lib/addRefusalGauge';
import { createQueryMeter, type QueryMeter } from '../_lib/createQueryMeter';
import { createRetryMeter } from '../_lib/createRetryMeter';
import { createSchedulingMeter } from '../_lib/createSchedulingMeter';

/** Sources of a gateway's gauges, read when the metrics are collected. */
export interface GatewayGauges {
  readonly countRunningRequests: () => number;
  /** Requests of other VMs that this VM forwards to servers. */
  readonly countRelayedRequests: () => number;
  /** Servers that this VM does not reach on its own links. */
  readonly countUnreachedServers: () => number;
  /** VMs through which this VM reaches servers. */
  readonly countRelays: () => number;
  readonly countServingServers: () => number;
  /** Prompt parts that are held responsible for crashes of servers. */
  readonly countResponsibleParts: () => number;
  /** Connections of callers that were closed unread. */
  readonly countClosedConnections: () => number;
  readonly countDroppedLines: () => number;
  readonly readConfigurationVersion: () => number;
  /** Time since the store was known to have no newer change, by table, in milliseconds. */
  readonly readTableAgesMs: () => ReadonlyMap<string, number>;
  /** Bytes held for requests. */
  readonly readHeldBytes: () => number;
  /** Delay of the event loop, in milliseconds. */
  readonly readLoopDelayMs: () => number;
  /** Requests refused since the start as this VM was overloaded, by cause. */
  readonly countOverloadRefusals: () => ReadonlyMap<string, number>;
  /** Whether this VM follows the store directly, not through another VM. */
  readonly isReader: () => boolean;
  readonly isReady: () => boolean;
  /** Streams of this VM's callers that wait for a server. */
  readonly countWaitingStreams: () => number;
  /** Streams of all VMs that wait at the schedulers of this VM. */
  readonly countSchedulerWaitingStreams: () => number;
  readonly countScheduledServices: () => number;
  /** Load of the fleet as known at this VM, by service. */
  readonly listFleetLoads: () => ReadonlyMap<string, FleetLoadView>;
  /** Retries of this VM in the present window, by service. */
  readonly listRetryUse: () => ReadonlyMap<string, RetryUse>;
}

/** Metrics of one gateway, with their own registry. */
export interface GatewayMetrics extends ForwardingMeter, QueryMeter, RetryMeter, SchedulingMeter {
  readonly contentType: string;
  addGauges(gauges: GatewayGauges): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
}

const MS_PER_S = 1000;

/** From the milliseconds of a lookup to the end of a long stream. */
const DURATION_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25];

/** Around the pauses that readers of a stream notice. */
const PAUSE_BUCKETS_S = [0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 2, 5];

/** Relative to the service: from a server twice as fast to a slow one on a busy machine. */
const PACE_RATIO_BUCKETS = [0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 3, 5];

/** A work factor counts for 0.6 s. */
const LOAD_AGE_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5];

/** Creates the metrics of one gateway. */
export const createGatewayMetrics = (): GatewayMetrics => {
  const registry = new Registry();
  const registers = [registry];
  addProcessGauges(registry);
  const requests = new Counter({
    name: 'jackdaw_forwarded_requests_total',
    help: 'Requests of callers, by kind of route and outcome.',
    labelNames: ['kind', 'outcome'],
    registers,
  });
  const durations = new Histogram({
    name: 'jackdaw_forwarded_request_seconds',
    help: 'Time from a request to the end of its answer.',
    labelNames: ['kind'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const pauses = new Histogram({
    name: 'jackdaw_resume_pause_seconds',
    help: 'Time from the last event of a lost server to the next attempt, by what it goes on from.',
    labelNames: ['source'],
    buckets: PAUSE_BUCKETS_S,
    registers,
  });
  const crashRefusals = new Counter({
    name: 'jackdaw_crash_refusals_total',
    help: 'Requests not sent as they crashed servers, by cause: the request or a part of its prompt.',
    labelNames: ['cause'],
    registers,
  });
  const attemptEnds = new Counter({
    name: 'jackdaw_attempt_ends_total',
    help: 'Attempts by kind of route, path to the server, end of its connection and what it proves.',
    labelNames: ['kind', 'path', 'connection', 'evidence'],
    registers,
  });
  const retries = createRetryMeter(registry);
  const scheduling = createSchedulingMeter(registry);
  const paceRatios = new Histogram({
    name: 'jackdaw_server_pace_ratio',
    help: 'Time of a call on the chosen server relative to its service, where servers differ.',
    labelNames: ['service'],
    buckets: PACE_RATIO_BUCKETS,
    registers,
  });
  const loadAges = new Histogram({
    name: 'jackdaw_server_load_age_seconds',
    help: 'Age of the load that the chosen server last reported, where servers differ.',
    labelNames: ['service'],
    buckets: LOAD_AGE_BUCKETS_S,
    registers,
  });
  return {
    contentType: registry.contentType,
    recordRequest: (kind, outcome, durationMs) => {
      requests.inc({ kind, outcome });
      durations.observe({ kind }, durationMs / MS_PER_S);
    },
    recordServerPace: (service, slowness, loadAgeMs) => {
      paceRatios.observe({ service }, slowness);
      if (Number.isFinite(loadAgeMs)) loadAges.observe({ service }, loadAgeMs / MS_PER_S);
    },
    recordAttemptEnd: (end) => attemptEnds.inc({ ...end }),
    recordRetry: retries.recordRetry,
    ...createQueryMeter(registry),
    recordCrashRefusal: (cause) => crashRefusals.inc({ cause }),
    recordResume: (pauseMs, source) => pauses.observe({ source }, pauseMs / MS_PER_S),
    recordDecision: scheduling.recordDecision,
    addGauges: (gauges) => {
      addGauge(
        registry,
        'jackdaw_running_requests',
        'Requests on their way.',
        gauges.countRunningRequests,
      );
      addGauge(
        registry,
        'jackdaw_relayed_requests',
        'Requests of other gateways on their way through this one.',
        gauges.countRelayedRequests,
      );
      addGauge(
        registry,
        'jackdaw_unreached_servers',
        'Backend servers that do not answer this gateway on its own links.',
        gauges.countUnreachedServers,
      );
      addGauge(
        registry,
        'jackdaw_relays',
        'Gateways through which this one reaches backend servers.',
        gauges.countRelays,
      );
      addGauge(
        registry,
        'jackdaw_serving_servers',
        'Backend servers that may take new work.',
        gauges.countServingServers,
      );
      addGauge(
        registry,
        'jackdaw_responsible_prompt_parts',
        'Prompt parts that are held responsible for crashes of backend servers.',
        gauges.countResponsibleParts,
      );
      addGauge(
        registry,
        'jackdaw_closed_connections',
        'Connections of callers closed unread since the start, as this gateway was late.',
        gauges.countClosedConnections,
      );
      addGauge(
        registry,
        'jackdaw_dropped_log_lines',
        'Log lines dropped since the start, as standard output was not read.',
        gauges.countDroppedLines,
      );
      addGauge(
        registry,
        'jackdaw_configuration_version',
        'Version of the configuration in force; 0 is none.',
        gauges.readConfigurationVersion,
      );
      const ages: Gauge = new Gauge({
        name: 'jackdaw_store_table_age_seconds',
        help: 'Time since the store surely had no newer change of a table; infinite before the first.',
        labelNames: ['table'],
        registers,
        collect: () =>
          gauges.readTableAgesMs().forEach((ageMs, table) => ages.set({ table }, ageMs / MS_PER_S)),
      });
      addGauge(
        registry,
        'jackdaw_held_bytes',
        'Bytes of requests and unsent answers in memory.',
        gauges.readHeldBytes,
      );
      addGauge(
        registry,
        'jackdaw_loop_delay_seconds',
        'Delay that all timers of the last second had at least.',
        () => gauges.readLoopDelayMs() / MS_PER_S,
      );
      addRefusalGauge(registry, gauges.countOverloadRefusals);
      addGauge(
        registry,
        'jackdaw_store_reader',
        '1 if this VM follows the store itself, 0 if it follows another VM.',
        () => Number(gauges.isReader()),
      );
      addGauge(registry, 'jackdaw_ready', '1 if this VM takes new connections.', () =>
        Number(gauges.isReady()),
      );
      addGauge(
        registry,
        'jackdaw_waiting_streams',
        'Streams of callers of this VM that wait for a server.',
        gauges.countWaitingStreams,
      );
      addGauge(
        registry,
        'jackdaw_scheduler_waiting_streams',
        'Streams of all VMs that wait at the schedulers of this VM.',
        gauges.countSchedulerWaitingStreams,
      );
      addGauge(
        registry,
        'jackdaw_scheduled_services',
        'Services whose scheduler is this VM.',
        gauges.countScheduledServices,
      );
      addFleetLoadGauges(registry, gauges.listFleetLoads);
      retries.addRetryGauges(gauges.listRetryUse);
    },
    render: () => registry.metrics(),
  };
};
