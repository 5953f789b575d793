import test, { type ExecutionContext } from 'ava';
import {
  createGatewayClient,
  createGatewayHandlers,
  startGatewayServer,
  type GatewayServices,
} from '../../src/adapters/connect';
import type { LoadPart } from '../../src/domain/fleet-load';
import { HEADERS } from '../../platform';
import { findFreePort } from '../../standins/_lib/findFreePort';
import { QUIET_LOG } from '../../standins/fakes';
import { buildGatewaySettings } from '../../standins/gateway';
import { callAnyServer } from './_lib/callAnyServer';
import { buildStubServices } from './_lib/buildStubServices';
import { startTestGateway } from './_lib/startTestGateway';
import { readOk } from '../_lib/readOk';

const PART: LoadPart = {
  vm: 'vm-1',
  incarnation: 1_700_000_000_000,
  sequence: 7,
  availabilityZone: 'z1',
  vms: 1,
  ageMs: 3,
  roundTripMs: null,
  omittedServers: 0,
  services: [{ service: 's', arrivalsPerS: 2.5, requestsByServer: new Map([['i-1', 4]]) }],
};

const setUp = async (t: ExecutionContext, services: Partial<GatewayServices>) => {
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (knowledge) => knowledge,
    ...services,
  });
  const server = readOk(
    await startGatewayServer({ handlers, log: QUIET_LOG }, { host: '127.0.0.1', port: 0 }),
  );
  const client = createGatewayClient();
  t.teardown(async () => {
    client.close();
    await server.stop();
  });
  return { address: new URL(server.url).host, client };
};

test('a gateway reports its load to another one, which answers with that of all zones', async (t) => {
  const { address, client } = await setUp(t, {
    handleLoadReport: (part) => [part, { ...part, availabilityZone: 'z2', roundTripMs: 1.5 }],
    handleLoadExchange: (zone) => (zone.vm === 'vm-1' ? { ...zone, vm: 'vm-2' } : null),
  });
  t.deepEqual(await client.reportLoad(address, PART), [
    PART,
    { ...PART, availabilityZone: 'z2', roundTripMs: 1.5 },
  ]);
  t.deepEqual(await client.exchangeLoad(address, PART), { zone: { ...PART, vm: 'vm-2' } });
  t.deepEqual(await client.exchangeLoad(address, { ...PART, vm: 'vm-3' }), { zone: null });
});

test('a malformed load gets an error and is not counted', async (t) => {
  const { address, client } = await setUp(t, {
    handleLoadReport: () => t.fail(),
    handleLoadExchange: () => t.fail(),
  });
  t.is(await client.reportLoad(address, { ...PART, vm: '' }), null);
  t.is(await client.exchangeLoad(address, { ...PART, availabilityZone: '' }), null);
});

test('a gateway shares the load of services whose servers state how long work takes', async (t) => {
  const peerAddress = `127.0.0.1:${await findFreePort()}`;
  const harness = await startTestGateway({ serverIds: ['i-1'], settings: { peerAddress } });
  t.teardown(harness.stop);
  const { availabilityZone } = buildGatewaySettings('');
  const client = createGatewayClient();
  t.teardown(() => client.close());
  const call = async (load: string): Promise<unknown> =>
    callAnyServer(harness, { id: load, headers: { [HEADERS.load]: load } });
  const readMetrics = async (): Promise<string> =>
    (await fetch(harness.gateway.metricsUrl.concat('/metrics'))).text();

  await call('1,0,8');
  await call('1,0,8,100');
  t.false(harness.lines.some(({ message }) => message === 'load collector changed'));
  await call('2,0,8,100');
  await harness.waitForLine('load collector changed', ({ collector }) => collector !== '');
  t.true((await readMetrics()).includes('\njackdaw_fleet_other_requests{service="s"} 0\n'));
  const zones = await client.reportLoad(peerAddress, { ...PART, vm: 'vm-9', availabilityZone });
  t.like(zones?.[0], { availabilityZone, vms: 2 });
});
