import { Counter, Histogram, type Registry } from 'prom-client';
import type { SchedulingMeter } from '../../../../application/scheduling';
import { computeNameId } from '../../../../domain/membership';
import { formatRequestClass } from '../../../../domain/scheduling';

const MS_PER_S = 1000;

/** Bounds the number of time series, however many workspaces a deployment has. */
const WORKSPACE_BUCKETS = 8;

/** Bucket of streams of routes that need no API key. */
const NO_WORKSPACE = 'none';

/** From a grant at once to the goals of the slowest streams. */
const WAIT_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30];

const computeBucket = (workspace: string): string =>
  workspace === '' ? NO_WORKSPACE : String(computeNameId(workspace) % WORKSPACE_BUCKETS);

/** Creates the metrics of scheduling in a registry. */
export const createSchedulingMeter = (registry: Registry): SchedulingMeter => {
  const registers = [registry];
  const decisions = new Counter({
    name: 'jackdaw_scheduled_streams_total',
    help: 'Decisions of the schedulers of this VM, by class, hashed workspace and decision.',
    labelNames: ['class', 'workspace_bucket', 'decision'],
    registers,
  });
  const waits = new Histogram({
    name: 'jackdaw_schedule_wait_seconds',
    help: 'Time from the first demand of a stream until it is sent to a server.',
    labelNames: ['class'],
    buckets: WAIT_BUCKETS_S,
    registers,
  });
  return {
    recordDecision: (requestClass, workspace, kind, waitedMs) => {
      const name = formatRequestClass(requestClass);
      decisions.inc({ class: name, workspace_bucket: computeBucket(workspace), decision: kind });
      if (kind === 'send') waits.observe({ class: name }, waitedMs / MS_PER_S);
    },
  };
};
