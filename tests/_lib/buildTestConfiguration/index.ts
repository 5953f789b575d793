import { computeKeyDigest } from '../../../src/domain/access';
import type { Configuration, Service } from '../../../src/domain/types';

/** Bearer keys of the two workspaces of the test configuration. */
export const TEST_KEYS = { counter: 'counter-key', other: 'other-key' } as const;

const buildService = (name: string, change: Partial<Service>): Service => ({
  name,
  kind: 'model',
  workClass: 'long',
  model: name,
  modelVersion: '',
  adapter: '',
  idempotent: true,
  timeoutMs: 5000,
  maxOutputTokens: 64,
  ...change,
});

/** Builds a configuration of two models, two plain services, two workspaces and one place. */
export const buildTestConfiguration = (change: Partial<Configuration> = {}): Configuration => ({
  deployment: 'test',
  survival: 'latency',
  places: [{ name: 'here', region: 'r1', availabilityZones: ['z1'] }],
  services: [
    buildService('billing', { kind: 'plain', workClass: 'plain', idempotent: false }),
    buildService('hidden', {}),
    buildService('review', {}),
    buildService('status', { kind: 'plain', workClass: 'plain' }),
  ],
  backendServers: [],
  workspaces: [
    {
      name: 'counter',
      keyDigests: [computeKeyDigest(TEST_KEYS.counter)],
      services: ['review', 'status', 'billing'],
      places: ['here'],
      weight: 1,
    },
    {
      name: 'other',
      keyDigests: [computeKeyDigest(TEST_KEYS.other)],
      services: ['review'],
      places: ['here'],
      weight: 1,
    },
  ],
  placementRules: [],
  engineTargets: [],
  limits: {
    maxBodyBytes: 10_000,
    maxQueuedLong: 10,
    lookupReserve: 0.2,
    retryBudget: 0.2,
    drainMs: 1000,
    answerTtlMs: 60_000,
    detachedMs: 10_000,
  },
  ...change,
});
