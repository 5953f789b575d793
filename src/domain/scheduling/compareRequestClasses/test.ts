import test from 'ava';
import { compareRequestClasses } from '.';

test('the workspace decides before the route, and lower is more urgent', (t) => {
  t.true(
    compareRequestClasses({ priority: 0, routePriority: 9 }, { priority: 1, routePriority: 0 }) < 0,
  );
  t.true(
    compareRequestClasses({ priority: 1, routePriority: 2 }, { priority: 1, routePriority: 0 }) > 0,
  );
  t.is(
    compareRequestClasses({ priority: 1, routePriority: 2 }, { priority: 1, routePriority: 2 }),
    0,
  );
});
