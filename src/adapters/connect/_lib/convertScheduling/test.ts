import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import test from 'ava';
import fc from 'fast-check';
import type { ScheduleRequest, ScheduleResponse } from '../../../../application/scheduling';
import {
  DeliverDecisionRequestSchema,
  EndedRunSchema,
  ScheduleRequestSchema,
  ScheduleResponseSchema,
  StartedRunSchema,
} from '../../gen/gateway_pb';
import {
  buildDeliveryMessage,
  buildScheduleResponseMessage,
  readDeliveryMessage,
  readScheduleResponseMessage,
} from '../convertScheduleDecision';
import { buildScheduleRequestMessage, readScheduleRequestMessage } from '.';

const count = fc.nat();
const name = fc.string({ minLength: 1 });
const tookMs = fc.float({ min: 0, noNaN: true, noDefaultInfinity: true }).map((ms) => ms + 0);
const tokens = fc.record({ kind: fc.constantFrom('prefill', 'decode'), tokens: count, tookMs });
const call = fc.record({
  kind: fc.constant('call'),
  tookMs,
  workFactor: fc.constantFrom(0.5, 1, 2.5),
});
const demand = fc.record({
  ticket: name,
  requestClass: fc.record({ priority: fc.integer(), routePriority: count }),
  workspace: fc.string(),
  promptTokens: count,
  outputTokens: count,
  waitedMs: count,
  goalLeftMs: fc.integer(),
  leftMs: count,
  isReturning: fc.boolean(),
  isResumed: fc.boolean(),
  availabilityZone: fc.string(),
  needsBackup: fc.boolean(),
  excludedServers: fc.array(name),
  versions: fc.array(name),
});
const request = fc.record({
  sender: fc.record({ vm: name, address: name, availabilityZone: fc.string() }),
  service: name,
  demands: fc.array(demand, { maxLength: 3 }),
  cancelledTickets: fc.array(name),
  startedRuns: fc.array(fc.record({ server: name, kvTokens: count })),
  endedRuns: fc.array(
    fc.record({
      server: name,
      kvTokens: count,
      backup: fc.option(name),
      ranMs: count,
      samples: fc.array(fc.oneof(tokens, call), { maxLength: 3 }),
    }),
  ),
}) as fc.Arbitrary<ScheduleRequest>;
const decision = fc.oneof(
  fc.record({
    kind: fc.constant('send'),
    ticket: name,
    server: name,
    backup: fc.option(name),
    predictedMs: count,
    isFree: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('wait'), ticket: name, predictedMs: count }),
  fc.record({
    kind: fc.constant('refuse'),
    ticket: name,
    reason: fc.string(),
    returnMs: count,
  }),
) as fc.Arbitrary<ScheduleResponse['decisions'][number]>;

const sendRequest = (message: ReturnType<typeof buildScheduleRequestMessage>) =>
  readScheduleRequestMessage(
    fromBinary(ScheduleRequestSchema, toBinary(ScheduleRequestSchema, message)),
  );

test('a schedule request arrives as it was sent', (t) => {
  fc.assert(
    fc.property(request, (sent) => {
      t.deepEqual(sendRequest(buildScheduleRequestMessage(sent)), sent);
    }),
    { numRuns: 50 },
  );
});

test('a response and a delivery arrive as they were sent', (t) => {
  fc.assert(
    fc.property(fc.boolean(), fc.array(decision), name, (isOwner, decisions, service) => {
      const bytes = toBinary(
        ScheduleResponseSchema,
        buildScheduleResponseMessage({ isOwner, decisions }),
      );
      const received = readScheduleResponseMessage(fromBinary(ScheduleResponseSchema, bytes));
      t.deepEqual(received, { isOwner, decisions });
      decisions.forEach((one) => {
        const delivered = { service, decision: one };
        t.deepEqual(readDeliveryMessage(buildDeliveryMessage(delivered)), delivered);
      });
    }),
    { numRuns: 50 },
  );
});

const [SAMPLE] = fc.sample(
  request.filter(({ demands, startedRuns }) => demands.length > 0 && startedRuns.length > 0),
  { numRuns: 1, seed: 1 },
) as [ScheduleRequest];

test('fractions are rounded, and times without bound become the longest that can be told', (t) => {
  const [first] = SAMPLE.demands;
  if (!first) throw new Error('no demand');
  const demands = [{ ...first, waitedMs: 1.6, goalLeftMs: -0.4, leftMs: Infinity }];
  const received = sendRequest(buildScheduleRequestMessage({ ...SAMPLE, demands }));
  t.like(received?.demands[0], { waitedMs: 2, leftMs: 2 ** 31 - 1 });
  t.is(Math.abs(received?.demands[0]?.goalLeftMs ?? NaN), 0);
});

// Guards against a least priority that is changed on the way to the scheduler.
test('the least values of a class and a goal arrive as they were sent', (t) => {
  const [first] = SAMPLE.demands;
  if (!first) throw new Error('no demand');
  const least = -(2 ** 31);
  const requestClass = { priority: least, routePriority: 0 };
  const demands = [{ ...first, requestClass, goalLeftMs: least }];
  const received = sendRequest(buildScheduleRequestMessage({ ...SAMPLE, demands }));
  t.like(received?.demands[0], { requestClass, goalLeftMs: least });
});

// Guards against a stream that is refused or sent because a missing time was read as zero.
test('a demand without ticket, class or a time left is dropped, and the others stay', (t) => {
  const message = buildScheduleRequestMessage(SAMPLE);
  const [whole] = message.demands;
  if (!whole) throw new Error('no demand');
  const { goalLeftMs, leftMs, requestClass, ...rest } = whole;
  const broken = [
    { ...rest, requestClass, leftMs },
    { ...rest, requestClass, goalLeftMs },
    { ...rest, goalLeftMs, leftMs },
    { ...whole, ticket: '' },
  ];
  const received = sendRequest(
    create(ScheduleRequestSchema, { ...message, demands: [...broken, whole] }),
  );
  t.deepEqual(received?.demands, SAMPLE.demands.slice(0, 1));
});

test('runs without a server and samples without a possible duration are dropped', (t) => {
  const work = { case: 'call', value: { tookMs: 3, workFactor: 1 } } as const;
  const samples = [
    {},
    { work: { case: 'prefill', value: { tokens: 5, tookMs: NaN } } },
    { work: { case: 'decode', value: { tokens: 5, tookMs: -1 } } },
    { work: { case: 'call', value: { tookMs: 3, workFactor: 0 } } },
    { work },
  ] as const;
  const received = sendRequest(
    create(ScheduleRequestSchema, {
      ...buildScheduleRequestMessage(SAMPLE),
      startedRuns: [create(StartedRunSchema, { kvTokens: 3 })],
      endedRuns: [{ kvTokens: 3 }, { server: 'i-1', samples: [...samples] }].map((run) =>
        create(EndedRunSchema, run),
      ),
    }),
  );
  t.deepEqual(received?.startedRuns, []);
  t.deepEqual(received?.endedRuns, [
    {
      server: 'i-1',
      kvTokens: 0,
      backup: null,
      ranMs: 0,
      samples: [{ kind: 'call', tookMs: 3, workFactor: 1 }],
    },
  ]);
});

test('a request without a service or a sender that can be answered is invalid', (t) => {
  const message = buildScheduleRequestMessage(SAMPLE);
  const { sender, ...anonymous } = message;
  t.is(readScheduleRequestMessage(create(ScheduleRequestSchema, anonymous)), null);
  t.is(readScheduleRequestMessage({ ...message, service: '' }), null);
  t.is(sender && readScheduleRequestMessage({ ...message, sender: { ...sender, vm: '' } }), null);
  t.is(
    sender && readScheduleRequestMessage({ ...message, sender: { ...sender, address: '' } }),
    null,
  );
});

test('a decision without ticket, outcome or server is dropped, and a delivery of one is invalid', (t) => {
  const decisions = [
    { ticket: '', outcome: { case: 'wait', value: { predictedMs: 1 } } },
    { ticket: 't-1' },
    { ticket: 't-2', outcome: { case: 'send', value: { predictedMs: 1 } } },
  ] as const;
  const received = create(ScheduleResponseSchema, { isOwner: true, decisions: [...decisions] });
  t.deepEqual(readScheduleResponseMessage(received), { isOwner: true, decisions: [] });
  decisions.forEach((one) => {
    const message = create(DeliverDecisionRequestSchema, { service: 's', decision: one });
    t.is(readDeliveryMessage(message), null);
  });
});
