import test from 'ava';
import { formatRequestClass } from '.';

test('classes that differ in either priority have different names', (t) => {
  t.is(formatRequestClass({ priority: 0, routePriority: 2 }), '0/2');
  t.is(formatRequestClass({ priority: 2, routePriority: 0 }), '2/0');
});
