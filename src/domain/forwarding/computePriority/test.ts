import test from 'ava';
import { computePriority } from '.';

const route = { priority: 4 };

test("the workspace's priority goes before the route's", (t) => {
  t.is(computePriority(route, { workspace: 'a', priority: 0 }), 0);
});

test("the route's priority holds for a workspace without one, and for nobody's requests", (t) => {
  t.is(computePriority(route, { workspace: 'a', priority: null }), 4);
  t.is(computePriority(route, null), 4);
});

test('a rank that servers do not know becomes the nearest that they do', (t) => {
  t.is(computePriority({ priority: 12 }, null), 9);
  t.is(computePriority({ priority: -1 }, null), 0);
  t.is(computePriority({ priority: 2.6 }, null), 3);
});
