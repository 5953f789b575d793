import test from 'ava';
import { buildLoadPart, QUIET_LOG } from '../../../../../standins/fakes';
import { createPartLimiter } from '.';

// Guards against a log line with each message while a load is too large.
test('servers that are left out are counted, and logged once until all fit again', (t) => {
  const cuts: unknown[] = [];
  const log = { ...QUIET_LOG, warn: (_: string, fields: object) => cuts.push(fields) };
  const limitPart = createPartLimiter({ log });
  const part = buildLoadPart({ i: 2, j: 1 }, { omittedServers: 3 });
  t.is(limitPart(part, 60).omittedServers, 4);
  limitPart({ ...part, availabilityZone: 'z2' }, 1000);
  limitPart(part, 60);
  t.deepEqual(cuts, [{ zone: 'z1', omittedServers: 1, maxBytes: 60 }]);
  t.deepEqual(limitPart(part, 1000), part);
  limitPart(part, 60);
  t.is(cuts.length, 2);
});
