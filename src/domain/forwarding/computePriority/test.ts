import test from 'ava';
import { computePriority } from '.';

const route = { priority: 4 };

test("the workspace's priority overrides the route's", (t) => {
  t.is(computePriority(route, { workspace: 'a', priority: 0 }), 0);
});

test("the route's priority applies to workspaces without one and to anonymous requests", (t) => {
  t.is(computePriority(route, { workspace: 'a', priority: null }), 4);
  t.is(computePriority(route, null), 4);
});

test('a priority out of range or not an integer becomes the nearest valid one', (t) => {
  t.is(computePriority({ priority: 12 }, null), 9);
  t.is(computePriority({ priority: -1 }, null), 0);
  t.is(computePriority({ priority: 2.6 }, null), 3);
});
