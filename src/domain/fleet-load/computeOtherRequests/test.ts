import test from 'ava';
import { buildLoadPart } from '../../../../standins/fakes';
import { computeOtherRequests } from '.';

test('the requests of other VMs are those of all zones without the own ones', (t) => {
  const zones = [buildLoadPart({ i: 3, j: 1 }), buildLoadPart({ i: 2 })];
  const own = buildLoadPart({ i: 1, j: 2, k: 1 });
  t.deepEqual([...computeOtherRequests(zones, own, 's').values()], [4, 0, 0]);
  t.is(computeOtherRequests(zones, own, 'other').size, 0);
});
