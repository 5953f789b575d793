import test from 'ava';
import { buildLoadPart } from '../../../../standins/fakes';
import { sumLoadParts } from '.';

// Guards against the requests of a VM that ended, which would count for ever.
test('requests add up by server and arrivals by service, of parts that are not older than 2 s', (t) => {
  const held = [
    { part: buildLoadPart({ i: 2, j: 1 }), receivedAtMs: 0 },
    { part: buildLoadPart({ i: 3 }), receivedAtMs: 100 },
  ];
  const { services } = buildLoadPart({ i: 5, j: 1 });
  t.deepEqual(sumLoadParts(held, 200), {
    vms: 2,
    ageMs: 150,
    omittedServers: 0,
    services: services.map((load) => ({ ...load, arrivalsPerS: 4 })),
  });
  t.is(sumLoadParts(held, 2050).vms, 1);
  t.deepEqual(sumLoadParts(held, 2150).services, []);
});
