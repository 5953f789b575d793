import test from 'ava';
import { limitLoadBytes } from '.';

const buildLoad = (service: string, servers: number) => ({
  service,
  arrivalsPerS: 1,
  requestsByServer: new Map(
    Array.from({ length: servers }, (_, index) => [`${service}-${index}`, 100 - index]),
  ),
});

test('loads that fit stay as they are', (t) => {
  const services = [buildLoad('s', 3), buildLoad('idle', 0)];
  t.deepEqual(limitLoadBytes(services, 1000), { services, omittedServers: 0 });
});

// Guards against a message that grows with the deployment until it takes longer than it is true.
test('of a load that is too large, the servers with the most requests stay', (t) => {
  const { omittedServers, services } = limitLoadBytes([buildLoad('s', 10), buildLoad('x', 1)], 100);
  t.deepEqual(
    services.map(({ requestsByServer }) => [...requestsByServer.keys()]),
    [['s-0', 's-1']],
  );
  t.is(omittedServers, 9);
});
