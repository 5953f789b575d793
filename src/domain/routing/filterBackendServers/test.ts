import test from 'ava';
import type { BackendHealth, BackendServer, LoadReport, Service } from '../../types';
import { filterBackendServers } from '.';

const SERVICE: Service = {
  name: 'review',
  kind: 'model',
  workClass: 'long',
  model: 'reviewer',
  modelVersion: '2',
  adapter: 'seals',
  idempotent: true,
  timeoutMs: 1000,
  maxOutputTokens: 100,
};
const SERVER: BackendServer = {
  name: 'review-1',
  url: 'http://127.0.0.1:1',
  region: 'gt',
  availabilityZone: 'gt-1',
  services: ['review'],
  slots: 4,
  checksFencing: true,
};
const REPORT: LoadReport = {
  backendServer: 'review-1',
  sequence: 1,
  running: 0,
  waiting: 0,
  slots: 4,
  cacheUse: 0,
  tokensPerSecond: 0,
  models: [{ model: 'reviewer', version: '2', adapter: 'seals' }],
  role: 'serve',
  leaving: false,
  fencingToken: 0,
  ageMs: 0,
  receivedAtMs: 0,
};
const findExclusionReason = (
  report: Partial<LoadReport> | null,
  health: BackendHealth = 'serving',
  excluded: readonly string[] = [],
): string =>
  filterBackendServers([SERVER], SERVICE, excluded, {
    readHealth: () => health,
    findReport: () => (report === null ? null : { ...REPORT, ...report }),
  }).filtered[0]?.reason ?? 'ready';

test('a server is ready with the requested model, version and adapter, or without a report', (t) => {
  t.is(findExclusionReason({}), 'ready');
  t.is(findExclusionReason(null), 'ready');
  t.is(findExclusionReason({ models: [] }), 'model-not-ready');
  const [model] = REPORT.models;
  t.is(findExclusionReason({ models: [{ ...model!, version: '1' }] }), 'model-not-ready');
  t.is(findExclusionReason({ models: [{ ...model!, adapter: '' }] }), 'model-not-ready');
});

test('a server that is not serving, is leaving, on standby or failed the request is excluded', (t) => {
  t.is(findExclusionReason({}, 'suspected'), 'health-suspected');
  t.is(findExclusionReason(null, 'leaving'), 'health-leaving');
  t.is(findExclusionReason({ leaving: true }), 'says-it-is-leaving');
  t.is(findExclusionReason({ role: 'standby' }), 'standby');
  t.is(findExclusionReason({}, 'serving', ['review-1']), 'failed-this-request');
});
