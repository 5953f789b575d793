import test from 'ava';
import type { Route } from '../../forwarding';
import { findSmallestGoalMs } from '.';

const buildRoute = (latencyGoalMs: number) => ({ latencyGoalMs }) as Route;

test('the smallest goal of all hosts counts; without routes there is none', (t) => {
  const routesByHost = new Map([
    ['a', [buildRoute(4500), buildRoute(200)]],
    ['b', [buildRoute(147)]],
  ]);
  t.is(findSmallestGoalMs({ routesByHost }), 147);
  t.is(findSmallestGoalMs({ routesByHost: new Map() }), Infinity);
  t.is(findSmallestGoalMs(null), Infinity);
});
