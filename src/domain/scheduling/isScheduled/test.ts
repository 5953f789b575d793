import test from 'ava';
import { RouteKind, type Route, type RouteTable } from '../../forwarding';
import { isScheduled } from '.';

const buildRoute = (name: string, changes: Partial<Route>): Route =>
  ({
    name,
    kind: RouteKind.Stream,
    priority: 0,
    targets: [{ service: 'chat', weight: 1 }],
    ...changes,
  }) as unknown as Route;

const buildTable = (routes: readonly Route[], engine: object | null = {}): RouteTable =>
  ({
    routesByHost: new Map([
      ['h', routes.slice(0, 1)],
      ['i', routes.slice(1)],
    ]),
    services: new Map([['chat', { name: 'chat', healthPath: '/', engine }]]),
    holdersByKey: new Map([['k', { workspace: 'w', priority: 7 }]]),
  }) as unknown as RouteTable;

const EVEN = { isUneven: false };
const UNEVEN = { isUneven: true };
const URGENT = buildRoute('urgent', {});
const LATER = buildRoute('later', { priority: 2 });

test('is scheduled if the stream routes of a service with engines differ in priority', (t) => {
  t.true(isScheduled(buildTable([URGENT, LATER]), 'chat', EVEN));
});

test('is scheduled if the servers are uneven', (t) => {
  t.true(isScheduled(buildTable([URGENT]), 'chat', UNEVEN));
});

test('is not scheduled if the routes have one priority, whatever workspaces have', (t) => {
  t.false(isScheduled(buildTable([URGENT, buildRoute('other', {})]), 'chat', EVEN));
  t.false(isScheduled(buildTable([]), 'chat', EVEN));
});

test('is not scheduled without engines, or if the service is unknown', (t) => {
  t.false(isScheduled(buildTable([URGENT, LATER], null), 'chat', UNEVEN));
  t.false(isScheduled(buildTable([URGENT, LATER]), 'other', UNEVEN));
});

test('counts only stream routes that send requests to the service, with a real priority', (t) => {
  const differing: readonly Partial<Route>[] = [
    { kind: RouteKind.Repeatable },
    { targets: [{ service: 'chat', weight: 0 }] },
    { targets: [{ service: 'chat', weight: -1 }] },
    { targets: [{ service: 'chat', weight: NaN }] },
    { targets: [{ service: 'other', weight: 1 }] },
    { targets: [] },
    { priority: NaN },
  ];
  for (const changes of differing) {
    const other = buildRoute('other', { priority: 2, ...changes });
    t.false(isScheduled(buildTable([URGENT, other]), 'chat', EVEN));
  }
});
