import { Counter, Histogram, Registry } from 'prom-client';
import { addGauge } from '../_lib/addGauge';
import { addProcessGauges } from '../_lib/addProcessGauges';

/** Sources of an entry's gauges, read when the metrics are collected. */
export interface EntryGauges {
  readonly countRunningGenerations: () => number;
  readonly countRunningRequests: () => number;
  readonly countWaitingDemands: () => number;
  readonly readConfigurationVersion: () => number;
  readonly isReady: () => boolean;
}

/** Metrics of one entry, with their own registry. */
export interface EntryMetrics {
  readonly contentType: string;
  /** Records an answer; `route` is the path's pattern, to keep the label's cardinality low. */
  recordAnswer(answer: {
    readonly route: string;
    readonly status: number;
    readonly durationMs: number;
  }): void;
  recordFirstToken(delayMs: number): void;
  recordTokens(count: number): void;
  /** Counts one decision of the decision log. */
  recordDecision(kind: string): void;
  /** Adds the gauges with their sources; until then the gauges are absent. */
  addGauges(gauges: EntryGauges): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
}

const MS_PER_S = 1000;

/** From the milliseconds of a lookup to the minutes of a long review. */
const DURATION_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 15, 60, 300, 1800];

/** Creates the metrics of one entry; several entries may run in one process. */
export const createEntryMetrics = (): EntryMetrics => {
  const registry = new Registry();
  const registers = [registry];
  addProcessGauges(registry);
  const answers = new Counter({
    name: 'jackdaw_answers_total',
    help: 'Answers to callers, by route and HTTP status.',
    labelNames: ['route', 'status'],
    registers,
  });
  const durations = new Histogram({
    name: 'jackdaw_answer_seconds',
    help: 'Time from a request to the end of its answer.',
    labelNames: ['route'],
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const firstTokens = new Histogram({
    name: 'jackdaw_first_token_seconds',
    help: 'Time from a generation request to its first token.',
    buckets: DURATION_BUCKETS_S,
    registers,
  });
  const tokens = new Counter({
    name: 'jackdaw_tokens_total',
    help: 'Tokens delivered to callers.',
    registers,
  });
  const decisions = new Counter({
    name: 'jackdaw_decisions_total',
    help: 'Routing and placement decisions, by kind.',
    labelNames: ['kind'],
    registers,
  });

  return {
    contentType: registry.contentType,
    recordAnswer: ({ durationMs, route, status }) => {
      answers.inc({ route, status });
      durations.observe({ route }, durationMs / MS_PER_S);
    },
    recordFirstToken: (delayMs) => firstTokens.observe(delayMs / MS_PER_S),
    recordTokens: (count) => tokens.inc(count),
    recordDecision: (kind) => decisions.inc({ kind }),
    addGauges: (gauges) => {
      const add = (name: string, help: string, read: () => number): void =>
        addGauge(registry, name, help, read);
      add(
        'jackdaw_running_generations',
        'Generations that this entry runs or relays.',
        gauges.countRunningGenerations,
      );
      add(
        'jackdaw_running_requests',
        'Requests that a shutdown would wait for.',
        gauges.countRunningRequests,
      );
      add('jackdaw_waiting_demands', 'Demands that wait for a slot.', gauges.countWaitingDemands);
      add(
        'jackdaw_configuration_version',
        'Version of the configuration in force; 0 is none.',
        gauges.readConfigurationVersion,
      );
      add('jackdaw_ready', '1 if this entry takes new work.', () => Number(gauges.isReady()));
    },
    render: () => registry.metrics(),
  };
};
