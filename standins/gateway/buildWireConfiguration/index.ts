import type { StandInServer } from '../createStandInServer';

/** API key of every test request. */
export const TEST_KEY = 'key-1';

/** Builds a configuration with an idempotent, a non-idempotent and a streaming route. */
export const buildWireConfiguration = (change: object = {}): object => {
  const route = { host: 'a.example', service: 's', timeout_ms: 5000, max_attempts: 3 };
  return {
    version: 2,
    routes: [
      { ...route, name: 'safe', prefix: '/safe/', route_type: 'safe', latency_goal_ms: 200 },
      { ...route, name: 'unsafe', prefix: '/unsafe/', route_type: 'unsafe', max_attempts: 1 },
      {
        ...route,
        name: 'stream',
        prefix: '/stream/',
        route_type: 'streaming',
        latency_goal_ms: 2000,
        gap_goal_ms: 700,
        resumable: true,
      },
    ],
    services: [
      {
        name: 's',
        health_path: '/healthz',
        max_conns: 50,
        engine: { slots: 8, kv_capacity: 88_000, backups: true, moves: true },
      },
    ],
    limits: {
      max_header_bytes: 4096,
      max_body_bytes: 10_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'w1', api_keys: [TEST_KEY] }],
    ...change,
  };
};

/** Builds the entry that a server registers for itself. */
export const buildWireEntry = (
  server: Pick<StandInServer, 'address'>,
  change: object = {},
): object => ({
  service: 's',
  address: server.address,
  zone: 'z1',
  slots: 8,
  state: 'ready',
  sequence: 1,
  ...change,
});
