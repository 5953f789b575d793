import test from 'ava';
import fc from 'fast-check';
import { RefusalCode } from '../../types';
import type { BackendServer, Configuration, PlacementRule } from '../../types';
import { filterAllowedServers } from '.';

const buildServer = (name: string, region: string, availabilityZone: string): BackendServer => ({
  name,
  url: 'http://127.0.0.1:1',
  region,
  availabilityZone,
  services: ['review'],
  slots: 4,
  checksFencing: true,
});
const RULE: PlacementRule = {
  name: 'north-only',
  workspaces: ['acme'],
  services: [],
  places: ['north'],
};
const buildConfiguration = (rules: readonly PlacementRule[]): Configuration => ({
  deployment: 'test',
  survival: 'latency',
  places: [
    { name: 'north', region: 'gt', availabilityZones: ['gt-1'] },
    { name: 'south', region: 'gt', availabilityZones: ['gt-2'] },
  ],
  services: ['review', 'billing'].map((name) => ({
    name,
    kind: 'model',
    workClass: 'long',
    model: name,
    modelVersion: '',
    adapter: '',
    idempotent: true,
    timeoutMs: 1000,
    maxOutputTokens: 100,
  })),
  backendServers: [
    buildServer('n', 'gt', 'gt-1'),
    buildServer('s', 'gt', 'gt-2'),
    buildServer('foreign', 'us', 'gt-1'),
  ],
  workspaces: ['acme', 'other'].map((name) => ({
    name,
    keyDigests: [],
    services: ['review'],
    places: ['north', 'south'],
    weight: 1,
  })),
  placementRules: rules,
  engineTargets: [],
  limits: {
    maxBodyBytes: 1,
    maxQueuedLong: 1,
    lookupReserve: 0.2,
    retryBudget: 0.1,
    drainMs: 1,
    answerTtlMs: 1,
    detachedMs: 1,
  },
});

test('a placement rule restricts only the workspaces that it names', (t) => {
  const configuration = buildConfiguration([RULE]);
  const listNames = (workspace: string): readonly string[] =>
    filterAllowedServers(configuration, workspace, 'review')
      .map(({ servers }) => servers.map(({ name }) => name))
      .unwrapOr([]);
  t.deepEqual(listNames('acme'), ['n']);
  t.deepEqual(listNames('other'), ['n', 's']);
});

test('services, workspaces and places that the configuration does not allow are refused', (t) => {
  const refuse = (rules: readonly PlacementRule[], workspace: string, service: string): string =>
    filterAllowedServers(buildConfiguration(rules), workspace, service).match(
      () => 'allowed',
      ({ code }) => code,
    );
  t.is(refuse([], 'acme', 'nothing'), RefusalCode.UnknownService);
  t.is(refuse([], 'acme', 'billing'), RefusalCode.ServiceNotAllowed);
  t.is(refuse([], 'nobody', 'review'), RefusalCode.ServiceNotAllowed);
  t.is(refuse([{ ...RULE, places: [] }], 'acme', 'review'), RefusalCode.NoAllowedPlace);
  t.is(refuse([{ ...RULE, places: ['atlantis'] }], 'acme', 'review'), RefusalCode.NoAllowedPlace);
});

test('any set of rules allows only servers in the places that all matching rules allow', (t) => {
  const rules = fc.array(
    fc.record({
      name: fc.constant('r'),
      workspaces: fc.subarray(['acme', 'other']),
      services: fc.subarray(['review', 'billing']),
      places: fc.subarray(['north', 'south']),
    }),
    { maxLength: 4 },
  );
  const placeOf: Readonly<Record<string, string>> = { n: 'north', s: 'south' };
  fc.assert(
    fc.property(rules, (generated) => {
      const allowed = filterAllowedServers(buildConfiguration(generated), 'acme', 'review');
      const servers = allowed.map((value) => value.servers).unwrapOr([]);
      const matching = generated.filter(
        ({ workspaces, services }) =>
          (workspaces.length === 0 || workspaces.includes('acme')) &&
          (services.length === 0 || services.includes('review')),
      );
      return servers.every(({ name }) =>
        matching.every(({ places }) => places.includes(placeOf[name] ?? 'none')),
      );
    }),
  );
  t.pass();
});
