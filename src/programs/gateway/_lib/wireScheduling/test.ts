import test from 'ava';
import type {
  DeliverDecision,
  ScheduleRequest,
  SchedulerClient,
  SchedulerTransport,
} from '../../../../application/scheduling';
import { createFakeClock, QUIET_LOG } from '../../../../../standins/fakes';
import type { SchedulerCandidate } from '../../../../domain/scheduling';
import { buildDisabledScheduling } from '../../../../../standins/gateway';
import { wireScheduling } from '.';

const rankSchedulers = (candidates: readonly SchedulerCandidate[]) =>
  [...candidates].sort((left, right) => (right.cores ?? 0) - (left.cores ?? 0));

const buildVm = (vm: string, cores: number) => ({
  vm,
  address: `${vm}:7000`,
  availabilityZone: 'z1',
  cores,
});

const REQUEST: ScheduleRequest = {
  sender: { vm: 'vm-1', address: 'vm-1:7000', availabilityZone: 'z1' },
  service: 's',
  demands: [],
  cancelledTickets: [],
  startedRuns: [],
  endedRuns: [],
};
const DELIVERED = {
  service: 's',
  decision: { kind: 'wait', ticket: 't-1', predictedMs: 1 },
} as const;
const OWNER = { isOwner: true, decisions: [] };

/** Wires vm-1 with recording parts; other VMs know no service and accept every delivery. */
const setUp = ({ fails = false } = {}) => {
  const events: string[] = [];
  let transport: SchedulerTransport | undefined;
  let deliver: DeliverDecision | undefined;
  const disabled = buildDisabledScheduling();
  const parts = wireScheduling({
    self: buildVm('vm-1', 2),
    listPeers: () => [buildVm('vm-2', 4), buildVm('vm-3', 1)],
    calls: {
      schedule: async (address) => {
        events.push(`schedule at ${address}`);
        return { isOwner: false, decisions: [] };
      },
      deliverDecision: async (address) => {
        events.push(`deliver to ${address}`);
        return true;
      },
    },
    hasService: (service) => service === 's',
    factories: {
      createScheduler: (service, givenDeliver) => {
        deliver = givenDeliver;
        return {
          handleRequest: () => {
            if (fails) throw new Error('broken');
            events.push('own scheduler asked');
            return OWNER;
          },
          countWaiting: () => 1,
          stop: () => events.push(`${service} stops`),
        };
      },
      createClient: (given): SchedulerClient => {
        transport = given;
        return {
          ...disabled.createClient(given),
          handleDelivery: ({ service }) => {
            events.push('own client told');
            return service === 's';
          },
          stop: () => events.push('client stops'),
        };
      },
      rankSchedulers,
    },
    clock: createFakeClock(),
    log: QUIET_LOG,
  });
  if (!transport) throw new Error('no client was created');
  return { events, parts, transport, readDeliver: () => deliver };
};

test('schedulers are listed by rank, this VM among them', (t) => {
  const { transport } = setUp();
  t.deepEqual(transport.listSchedulers('s'), [
    { vm: 'vm-2', address: 'vm-2:7000', availabilityZone: 'z1' },
    { vm: 'vm-1', address: 'vm-1:7000', availabilityZone: 'z1' },
    { vm: 'vm-3', address: 'vm-3:7000', availabilityZone: 'z1' },
  ]);
});

// Guards against a stream that is sent while the scheduler still decides on others.
test('calls to this VM reach its own parts without a connection, deliveries after the current step', async (t) => {
  const { events, readDeliver, transport } = setUp();
  t.deepEqual(transport.handleLocally(REQUEST), OWNER);
  const accepted = readDeliver()?.('vm-1:7000', DELIVERED);
  t.deepEqual(events, ['own scheduler asked']);
  t.true(await accepted);
  t.false(await readDeliver()?.('vm-1:7000', { ...DELIVERED, service: 'other' }));
  t.deepEqual(events, ['own scheduler asked', 'own client told', 'own client told']);
});

test('calls to other VMs are sent', async (t) => {
  const { events, readDeliver, transport } = setUp();
  t.deepEqual(await transport.askPeer('vm-2:7000', REQUEST), { isOwner: false, decisions: [] });
  transport.handleLocally(REQUEST);
  t.true(await readDeliver()?.('vm-3:7000', DELIVERED));
  t.deepEqual(events, ['schedule at vm-2:7000', 'own scheduler asked', 'deliver to vm-3:7000']);
});

// Guards against a fault of a scheduler that ends the process of its own VM.
test('after a failure of the own scheduler the next VM by rank is asked', (t) => {
  const { transport } = setUp({ fails: true });
  t.false(transport.handleLocally(REQUEST).isOwner);
});

test('stopping ends the client and the schedulers', (t) => {
  const { events, parts, transport } = setUp();
  transport.handleLocally(REQUEST);
  t.is(parts.registry.countWaiting(), 1);
  parts.stop();
  t.deepEqual(events, ['own scheduler asked', 'client stops', 's stops']);
});

test('disabled scheduling leaves every decision to the VM', async (t) => {
  const { createClient, createScheduler, rankSchedulers: rank } = buildDisabledScheduling();
  const { transport } = setUp();
  const client = createClient(transport);
  const outcome = await client.requestServer('s', () => t.fail(), new AbortController().signal);
  t.deepEqual(outcome, { kind: 'unknown' });
  t.false(createScheduler('s', async () => false).handleRequest(REQUEST).isOwner);
  t.deepEqual(rank([buildVm('vm-1', 1)], 's'), []);
});
