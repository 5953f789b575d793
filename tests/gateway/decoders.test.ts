import test from 'ava';
import {
  decodeRequestHead,
  decodeRouteTable,
  decodeServerEntry,
  decodeSettings,
  HEADERS,
} from '../../platform';
import { RouteKind } from '../../src/domain/forwarding';
import { readOk } from '../_lib/readOk';
import { buildWireConfiguration } from '../../standins/gateway';

const SETTINGS = `
node_name = "vm-1"
ip = "10.1.0.1"
zone = "z1"
internal_ports = [7200, 7215]
seeds = ["10.1.0.1:8748"]
new_field = "ignored"
[listen]
frontend = "10.1.0.1:8740"
readiness = "10.1.0.1:8749"
control_plane = "10.1.0.1:8748"
[limits]
memory_mb = 200
[bounds]
grace_s = 9
retry_budget_ratio = 0.8
[platform]
address = "10.200.1.7:8742"
`;

const toBytes = (value: unknown): Buffer => Buffer.from(JSON.stringify(value));

test('settings are decoded, unknown fields are ignored, and missing ones have defaults', (t) => {
  const settings = readOk(decodeSettings(SETTINGS));
  t.is(settings.vm, 'vm-1');
  t.is(settings.peerAddress, '10.1.0.1:8748');
  t.is(settings.metricsAddress, '10.1.0.1:7215');
  t.is(settings.storeUrl, 'http://10.200.1.7:8742');
  t.is(settings.memoryBytes, 200 * 1024 * 1024);
  t.is(readOk(decodeSettings(SETTINGS.replace('memory_mb', 'other'))).memoryBytes, null);
  t.is(settings.bounds.shutdownMs, 9000);
  t.is(settings.bounds.retryWindowMs, 10_000);
});

for (const [name, text, key] of [
  ['without a required field', SETTINGS.replace('zone = "z1"', ''), 'zone'],
  ['with an invalid address', SETTINGS.replace('10.200.1.7:8742', 'store'), 'platform.address'],
  ['with a negative memory', SETTINGS.replace('= 200', '= -1'), 'limits.memory_mb'],
  ['with a memory that is no number', SETTINGS.replace('= 200', '= "much"'), 'limits.memory_mb'],
  ['without a table', SETTINGS.replace('[listen]', '[other]'), 'listen'],
] as const) {
  test(`settings ${name} are refused with the key`, (t) => {
    const problems = decodeSettings(text)._unsafeUnwrapErr();
    t.deepEqual(
      problems.map((problem) => problem.key),
      [key],
    );
  });
}

test('settings that are not TOML are refused', (t) => {
  t.is(decodeSettings('vm = [')._unsafeUnwrapErr().length, 1);
});

test('routes are indexed by host, longest prefix first; unknown kinds run at most once', (t) => {
  const route = { name: 'r', host: 'A.example', service: 's', timeout_ms: 100 };
  const table = readOk(
    decodeRouteTable(
      toBytes(
        buildWireConfiguration({
          routes: [
            { ...route, prefix: '/a/', route_type: 'safe' },
            { ...route, prefix: '/a/b/', route_type: 'some-new-kind' },
          ],
        }),
      ),
    ),
  );
  const routes = table.routesByHost.get('a.example') ?? [];
  t.deepEqual(
    routes.map(({ prefix }) => prefix),
    ['/a/b/', '/a/'],
  );
  t.deepEqual(
    routes.map(({ kind }) => kind),
    [RouteKind.Once, RouteKind.Repeatable],
  );
});

// Guards against a route type that is the name of a property which every object has.
test('a route type like a property of objects is an unknown one', (t) => {
  const names = ['constructor', 'toString', '__proto__', 'hasOwnProperty'];
  const route = { host: 'a.example', service: 's', timeout_ms: 100 };
  const routes = names.map((name) => ({ ...route, name, prefix: '/', route_type: name }));
  const table = readOk(decodeRouteTable(toBytes(buildWireConfiguration({ routes }))));
  t.deepEqual(
    table.routesByHost.get('a.example')?.map(({ kind }) => kind),
    names.map(() => RouteKind.Once),
  );
});

test('a configuration without tenants needs no key; a malformed one names the field', (t) => {
  const open = buildWireConfiguration({ tenants: undefined });
  t.is(readOk(decodeRouteTable(toBytes(open))).holdersByKey, null);
  const broken = buildWireConfiguration({ limits: { max_header_bytes: 'many' } });
  t.regex(decodeRouteTable(toBytes(broken))._unsafeUnwrapErr(), /^limits\./);
  t.true(decodeRouteTable(Buffer.from('{')).isErr());
});

test('a server with an unknown state gets no new requests', (t) => {
  const entry = { service: 's', address: '10.0.0.1:80', zone: 'z1', slots: 4, sequence: 1 };
  t.false(readOk(decodeServerEntry('i-1', toBytes({ ...entry, state: 'ready' }))).isLeaving);
  t.true(readOk(decodeServerEntry('i-1', toBytes({ ...entry, state: 'resting' }))).isLeaving);
  t.true(decodeServerEntry('i-1', toBytes({ service: 's' })).isErr());
});

test('hop-by-hop headers and headers that only the system may set are not forwarded', (t) => {
  const head = readOk(
    decodeRequestHead({
      method: 'GET',
      target: '/x',
      rawHeaders: [
        'Host',
        'a.example:80',
        HEADERS.requestId,
        'r-1',
        'Connection',
        `keep-alive, X-Hop, ${HEADERS.requestId}`,
        'X-Hop',
        '1',
        'X-Kept',
        '2',
        HEADERS.workspace,
        'stolen',
        HEADERS.promptPrefix,
        'aa:200,bb:800',
        HEADERS.lastEventId,
        '12',
      ],
      arrivedAtMs: 5,
    }),
  );
  t.deepEqual(head.forwardedHeaders, [
    'Host',
    'a.example:80',
    HEADERS.requestId,
    'r-1',
    'X-Kept',
    '2',
    HEADERS.promptPrefix,
    'aa:200,bb:800',
  ]);
  t.is(head.host, 'a.example');
  t.is(head.lastEventId, 12);
  t.deepEqual(head.promptParts, [
    { id: 'aa', tokens: 200 },
    { id: 'bb', tokens: 800 },
  ]);
});
