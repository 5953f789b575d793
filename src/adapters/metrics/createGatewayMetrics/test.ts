import test from 'ava';
import { createGatewayMetrics } from '.';

const CLASS = { priority: 0, routePriority: 2 };

const VIEW = {
  ageMs: 500,
  otherRequests: new Map([['i-1', 1.5], ['i-2', 2]]), // prettier-ignore
  arrivalsPerS: new Map([['z1', 10], ['z2', 5]]), // prettier-ignore
  crossingsMs: new Map(),
};

const listLines = async (
  metrics: ReturnType<typeof createGatewayMetrics>,
  name: string,
): Promise<string[]> =>
  (await metrics.render()).split('\n').filter((line) => line.startsWith(name));

test('decisions are counted by class, and only streams that are sent count as waits', async (t) => {
  const metrics = createGatewayMetrics();
  metrics.recordDecision(CLASS, '', 'wait', 0);
  metrics.recordDecision(CLASS, '', 'send', 300);
  metrics.recordDecision({ priority: 2, routePriority: 2 }, '', 'refuse', 5000);
  t.deepEqual(await listLines(metrics, 'jackdaw_scheduled_streams_total'), [
    'jackdaw_scheduled_streams_total{class="0/2",workspace_bucket="none",decision="wait"} 1',
    'jackdaw_scheduled_streams_total{class="0/2",workspace_bucket="none",decision="send"} 1',
    'jackdaw_scheduled_streams_total{class="2/2",workspace_bucket="none",decision="refuse"} 1',
  ]);
  t.deepEqual(await listLines(metrics, 'jackdaw_schedule_wait_seconds_sum'), [
    'jackdaw_schedule_wait_seconds_sum{class="0/2"} 0.3',
  ]);
});

// Guards against one time series for each workspace, which exhausts the memory of the collector.
test('hundreds of workspaces share eight buckets, and a workspace keeps its own', async (t) => {
  const metrics = createGatewayMetrics();
  Array.from({ length: 300 }, (_, index) =>
    metrics.recordDecision(CLASS, `workspace-${index}`, 'send', 1),
  );
  const before = await listLines(metrics, 'jackdaw_scheduled_streams_total');
  t.is(before.length, 8);
  metrics.recordDecision(CLASS, 'workspace-7', 'send', 1);
  metrics.recordDecision(CLASS, 'workspace-7', 'send', 1);
  const after = await listLines(metrics, 'jackdaw_scheduled_streams_total');
  t.is(after.filter((line) => !before.includes(line)).length, 1);
});

test('gauges of waiting streams, scheduled services and the load of the fleet are read when they are collected', async (t) => {
  const metrics = createGatewayMetrics();
  let waiting = 1;
  metrics.addGauges({
    countRunningRequests: () => 0,
    countRelayedRequests: () => 1,
    countUnreachedServers: () => 2,
    countRelays: () => 3,
    countClosedConnections: () => 2,
    countResponsibleParts: () => 1,
    countServingServers: () => 0,
    countDroppedLines: () => 0,
    readConfigurationVersion: () => 0,
    readTableAgesMs: () => new Map(),
    readHeldBytes: () => 0,
    readLoopDelayMs: () => 0,
    countOverloadRefusals: () => new Map(),
    isReader: () => false,
    isReady: () => true,
    countWaitingStreams: () => waiting,
    countSchedulerWaitingStreams: () => 10 * waiting,
    countScheduledServices: () => 2,
    listFleetLoads: () => new Map([['s', VIEW]]),
    listRetryUse: () =>
      new Map([['s', { allowed: 6.5, requests: 2, retries: 4, open: 1, fixed: 5 }]]),
  });
  waiting = 3;
  t.deepEqual(await listLines(metrics, 'jackdaw_waiting_streams'), ['jackdaw_waiting_streams 3']);
  t.deepEqual(await listLines(metrics, 'jackdaw_scheduler_waiting_streams'), [
    'jackdaw_scheduler_waiting_streams 30',
  ]);
  t.deepEqual(await listLines(metrics, 'jackdaw_scheduled_services'), [
    'jackdaw_scheduled_services 2',
  ]);
  t.deepEqual(await listLines(metrics, 'jackdaw_fleet_'), [
    'jackdaw_fleet_load_age_seconds{service="s"} 0.5',
    'jackdaw_fleet_other_requests{service="s"} 3.5',
    'jackdaw_fleet_arrivals_per_second{service="s"} 15',
  ]);
  t.deepEqual(await listLines(metrics, 'jackdaw_retry_'), [
    'jackdaw_retry_allowed{service="s"} 6.5',
    'jackdaw_retry_used{service="s"} 4',
    'jackdaw_retry_open{service="s"} 1',
    'jackdaw_retry_requests{service="s"} 2',
    'jackdaw_retry_fixed{service="s"} 5',
  ]);
});
