import test from 'ava';
import { RouteKind, type Route, type RouteTable } from '../../forwarding';
import { findMemoryUse } from '.';

const buildRoute = (prefix: string, kind: RouteKind) => ({ prefix, kind }) as Route;

const TABLE = {
  routesByHost: new Map([
    ['h', [buildRoute('/s/', RouteKind.Stream), buildRoute('/c/', RouteKind.Once)]],
  ]),
} as unknown as RouteTable;

test('only requests of a route for streams hold bytes for a stream', (t) => {
  t.is(findMemoryUse(TABLE, { host: 'h', target: '/s/x' }), 'stream');
  t.is(findMemoryUse(TABLE, { host: 'h', target: '/c/x' }), 'call');
  t.is(findMemoryUse(TABLE, { host: 'h', target: '/other' }), 'call');
  t.is(findMemoryUse(null, { host: 'h', target: '/s/x' }), 'call');
});
