import test from 'ava';
import type { RouteTable } from '../../forwarding';
import { hasScheduledService } from '.';

const buildTable = (services: readonly string[]): RouteTable =>
  ({
    routesByHost: new Map(),
    services: new Map(services.map((name) => [name, { name, healthPath: '/', engine: {} }])),
  }) as unknown as RouteTable;

test('one service that is scheduled is enough', (t) => {
  const table = buildTable(['a', 'b']);
  t.true(hasScheduledService(table, (service) => service === 'b'));
  t.false(hasScheduledService(table, () => false));
  t.false(hasScheduledService(buildTable([]), () => true));
});
