import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import {
  createGatewayClient,
  createGatewayHandlers,
  startGatewayServer,
  type GatewayServices,
} from '../../src/adapters/connect';
import type {
  ScheduleRequest,
  ScheduleResponse,
  SchedulerTransport,
} from '../../src/application/scheduling';
import { QUIET_LOG } from '../../standins/fakes';
import { buildDisabledScheduling } from '../../standins/gateway';
import { buildStubServices } from './_lib/buildStubServices';
import { startTestGateway } from './_lib/startTestGateway';
import { readOk } from '../_lib/readOk';

const REQUEST: ScheduleRequest = {
  sender: { vm: 'vm-1', address: '127.0.0.1:1', availabilityZone: 'z1' },
  service: 's',
  demands: [],
  cancelledTickets: ['t-1'],
  startedRuns: [],
  endedRuns: [],
};
const SENT = {
  kind: 'send',
  ticket: 't-2',
  server: 'i-1',
  backup: null,
  predictedMs: 5,
  isFree: true,
} as const;

const setUp = async (t: ExecutionContext, services: Partial<GatewayServices>) => {
  const handlers = createGatewayHandlers({
    ...buildStubServices(),
    handleKnowledge: (knowledge) => knowledge,
    ...services,
  });
  const server = readOk(
    await startGatewayServer(
      { handlers, log: QUIET_LOG, relay: { handleRequest: async () => undefined } },
      { host: '127.0.0.1', port: 0 },
    ),
  );
  const client = createGatewayClient();
  t.teardown(async () => {
    client.close();
    await server.stop();
  });
  return { address: new URL(server.url).host, client };
};

const MAX_DELIVERIES = 20;

test('a gateway asks the scheduler at another one, which delivers decisions back', async (t) => {
  const received: unknown[] = [];
  const response: ScheduleResponse = { isOwner: true, decisions: [SENT] };
  const { address, client } = await setUp(t, {
    handleScheduleRequest: (request) => {
      received.push(request);
      return response;
    },
    handleDelivery: ({ service }) => service === 's',
  });
  t.deepEqual(await client.schedule(address, REQUEST), response);
  t.deepEqual(received, [REQUEST]);
  // A delivery that is answered later than 400 ms counts as not accepted, as on a busy machine.
  let isAccepted = false;
  for (let tries = 0; tries < MAX_DELIVERIES && !isAccepted; tries += 1)
    isAccepted = await client.deliverDecision(address, { service: 's', decision: SENT });
  t.true(isAccepted);
  t.false(await client.deliverDecision(address, { service: 'other', decision: SENT }));
});

test('a malformed request gets an error and reaches no scheduler', async (t) => {
  const { address, client } = await setUp(t, {
    handleScheduleRequest: () => t.fail(),
    handleDelivery: () => t.fail(),
  });
  t.is(await client.schedule(address, { ...REQUEST, service: '' }), null);
  t.false(
    await client.deliverDecision(address, { service: 's', decision: { ...SENT, server: '' } }),
  );
});

// Guards against room at a server that stays granted to nobody: the response to a stream that
// no longer waits for it holds a grant, which only the caller can cancel.
test('a response later than streams wait still arrives, and a delivery without one is not taken', async (t) => {
  let hasResponded = false;
  const server = createServer((_, response) => {
    setTimeout(() => {
      hasResponded = true;
      response.writeHead(200).end();
    }, 600);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = createGatewayClient();
  t.teardown(() => {
    client.close();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const scheduled = client.schedule(address, REQUEST);
  t.false(await client.deliverDecision(address, { service: 's', decision: SENT }));
  t.false(hasResponded);
  t.deepEqual(await scheduled, { isOwner: false, decisions: [] });
});

// Guards against streams that go on waiting at a scheduler that is about to end.
test('a gateway schedules the services of its configuration until it is told to shut down', async (t) => {
  const disabled = buildDisabledScheduling();
  let transport: SchedulerTransport | undefined;
  const harness = await startTestGateway({
    scheduling: {
      ...disabled,
      createScheduler: () => ({
        handleRequest: () => ({ isOwner: true, decisions: [] }),
        countWaiting: () => 3,
        stop: () => undefined,
      }),
      createClient: (given) => {
        transport = given;
        return { ...disabled.createClient(given), countWaiting: () => 2 };
      },
    },
  });
  t.teardown(harness.stop);
  const askSelf = (service: string): boolean | undefined =>
    transport?.handleLocally({ ...REQUEST, service }).isOwner;
  t.true(askSelf('s'));
  t.false(askSelf('unknown'));
  const metrics = await (await fetch(harness.gateway.metricsUrl.concat('/metrics'))).text();
  ['waiting_streams 2', 'scheduler_waiting_streams 3', 'scheduled_services 1'].forEach((gauge) =>
    t.true(metrics.includes(`\njackdaw_${gauge}\n`), gauge),
  );
  const drained = harness.gateway.drain();
  await harness.waitForLine('scheduler stopped', ({ service }) => service === 's');
  t.false(askSelf('s'));
  await drained;
});
