import test from 'ava';
import type { ScheduleDecision } from '../../../domain/scheduling';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import type { ScheduleRequest, ScheduleResponse, StreamDemandOptions } from '../types';
import { createSchedulerClient } from '.';

const ID = { availabilityZone: 'z' };
const SCHEDULERS = ['a', 'b', 'c'].map((vm) => ({ vm, address: vm, ...ID }));

/** The response, or the time after which a grant arrives. */
type Answer = (request: ScheduleRequest) => ScheduleResponse | number;
type SentMessage = Readonly<{ address: string; atMs: number; request: ScheduleRequest }>;

const GRANT = { server: 's-1', backup: null, predictedMs: 900, isFree: true };

const decide =
  (kind: 'send' | 'wait') =>
  ({ demands }: ScheduleRequest): ScheduleResponse => ({
    isOwner: true,
    decisions: demands.map(({ ticket }) => ({ ...GRANT, kind, ticket })),
  });
const ELSEWHERE: Answer = () => ({ isOwner: false, decisions: [] });
const SILENT: Answer = () => Infinity;

const DEMAND: StreamDemandOptions = {
  requestId: 'r',
  heldBytes: 10,
  requestClass: { priority: 1, routePriority: 1 },
  workspace: 'w',
  promptTokens: 100,
  outputTokens: 50,
  isReturning: false,
  isResumed: false,
  needsBackup: true,
  excludedServers: [],
  versions: [],
  goalAtMs: 4500,
  deadlineAtMs: 25_000,
};

/** A client with three schedulers, whose answers a test may exchange; a number delays `send`. */
const build = (initial: Readonly<Record<string, Answer>>) => {
  const clock = createFakeClock();
  const answers: Record<string, Answer> = { a: SILENT, b: SILENT, c: SILENT, ...initial };
  const sent: SentMessage[] = [];
  const client = createSchedulerClient({
    self: { vm: 'me', address: 'me:1', ...ID },
    listSchedulers: () => SCHEDULERS,
    askPeer: (address, request) =>
      new Promise((resolve) => {
        sent.push({ address, atMs: clock.readMonotonicMs(), request });
        const answer = answers[address]?.(request) ?? Infinity;
        if (typeof answer !== 'number') resolve(answer);
        else clock.startTimer(answer, () => resolve(decide('send')(request)));
      }),
    handleLocally: () => ({ isOwner: false, decisions: [] }),
    clock,
    log: QUIET_LOG,
    randomness: createSeededRandomness(1),
  });
  const outcomes: string[] = [];
  const request = (read = () => DEMAND, controller = new AbortController()) => {
    const outcome = client.requestServer('s', read, controller.signal);
    outcome.then(({ kind }) => outcomes.push(kind));
    return { outcome, controller };
  };
  const listAsked = (): readonly string[] => sent.map(({ address, atMs }) => `${address}@${atMs}`);
  return { answers, client, clock, listAsked, outcomes, request, sent };
};

const listCancelled = (sent: readonly SentMessage[]) =>
  sent.flatMap(({ address, request }) =>
    request.cancelledTickets.map((one) => `${address} ${one}`),
  );

// Guards against streams that hang on a scheduler that has ended or is frozen.
test('a silent scheduler is skipped for two seconds, and the next one is asked', async (t) => {
  const { clock, listAsked, outcomes, request } = build({ b: decide('send') });
  request();
  await clock.advanceAsync(200);
  t.deepEqual(listAsked(), ['a@0', 'b@200']);
  t.deepEqual(outcomes, ['send']);
  request();
  await clock.advanceAsync(2000);
  t.deepEqual(listAsked().slice(2), ['b@200']);
  request();
  t.is(listAsked().at(-1), 'a@2200');
});

// Guards against callers that wait for a scheduler while there is none.
test('after a silent scheduler and one that does not schedule the VM decides by itself', async (t) => {
  const { clock, listAsked, outcomes, request } = build({ b: ELSEWHERE, c: decide('send') });
  request();
  await clock.advanceAsync(199);
  t.deepEqual(outcomes, []);
  await clock.advanceAsync(1);
  t.deepEqual(listAsked(), ['a@0', 'b@200']);
  t.deepEqual(outcomes, ['unknown']);
  request();
  t.is(listAsked().at(-1), 'c@200');
});

test('waiting demands are renewed in one message a service, with the class now in force', async (t) => {
  const { client, clock, request, sent } = build({ a: decide('wait') });
  let priority = 1;
  request(() => ({ ...DEMAND, requestClass: { priority, routePriority: 1 } }));
  await clock.advanceAsync(100);
  request();
  await clock.advanceAsync(0);
  t.is(client.countWaiting(), 2);
  priority = 0;
  await clock.advanceAsync(400);
  t.is(sent.length, 3);
  const demands = sent[2]?.request.demands ?? [];
  t.deepEqual(
    demands.map((one) => [one.waitedMs, one.goalLeftMs, one.requestClass.priority].join()),
    ['500,4000,0', '400,4000,1'],
  );
  t.is(demands[0]?.ticket, sent[0]?.request.demands[0]?.ticket);
});

// Guards against demands that stay with a scheduler that ended while they waited.
test('an unanswered renewal moves all waiting demands to the next scheduler', async (t) => {
  const { answers, clock, listAsked, outcomes, request, sent } = build({ a: decide('wait') });
  request();
  request();
  await clock.advanceAsync(0);
  Object.assign(answers, { a: SILENT, b: decide('send') });
  await clock.advanceAsync(700);
  t.deepEqual(listAsked().slice(2), ['a@500', 'b@700']);
  t.is(sent.at(-1)?.request.demands.length, 2);
  t.deepEqual(outcomes, ['send', 'send']);
});

// Guards against waiting for ever when all schedulers are cut off.
test('waiting demands end as unknown after two silent schedulers', async (t) => {
  const { answers, clock, outcomes, request } = build({ a: decide('wait') });
  request();
  await clock.advanceAsync(0);
  Object.assign(answers, { a: SILENT });
  await clock.advanceAsync(900);
  t.deepEqual(outcomes, ['unknown']);
});

test('a delivered decision ends the wait; one for an unknown ticket is declined', async (t) => {
  const { client, clock, request, sent } = build({ a: decide('wait') });
  const { outcome } = request();
  await clock.advanceAsync(200);
  const ticket = sent[0]?.request.demands[0]?.ticket ?? '';
  const decision: ScheduleDecision = { ...GRANT, kind: 'send', ticket };
  t.false(client.handleDelivery({ service: 's', decision: { ...decision, ticket: 'x' } }));
  t.false(client.handleDelivery({ service: 'other', decision }));
  t.true(client.handleDelivery({ service: 's', decision }));
  t.like(await outcome, { kind: 'send', server: 's-1', waitedMs: 200 });
  t.false(client.handleDelivery({ service: 's', decision }));
});

// Guards against room that stays promised to a stream which no longer waits for the answer.
test('the grant of a late response is cancelled at the scheduler that sent it', async (t) => {
  const { clock, listAsked, outcomes, request, sent } = build({ a: () => 240, b: decide('send') });
  request();
  await clock.advanceAsync(250);
  t.deepEqual(outcomes, ['send']);
  t.deepEqual(listAsked(), ['a@0', 'b@200', 'a@240']);
  t.deepEqual(listCancelled(sent), [`a ${sent[0]?.request.demands[0]?.ticket}`]);
});

// Guards against cancelling the grant that a stream uses, when it comes twice.
test('a grant that is delivered and repeated in a late response is kept', async (t) => {
  const { answers, client, clock, outcomes, request, sent } = build({ a: decide('wait') });
  request();
  await clock.advanceAsync(0);
  Object.assign(answers, { a: () => 240, b: decide('wait') });
  await clock.advanceAsync(510);
  const ticket = sent[0]?.request.demands[0]?.ticket ?? '';
  t.true(client.handleDelivery({ service: 's', decision: { ...GRANT, kind: 'send', ticket } }));
  await clock.advanceAsync(500);
  t.deepEqual(outcomes, ['send']);
  t.deepEqual(listCancelled(sent), []);
});

test('a caller that left before or while it waits ends the demand and tells the scheduler', async (t) => {
  const { answers, client, clock, outcomes, request, sent } = build({ a: decide('wait') });
  const gone = new AbortController();
  gone.abort();
  request(() => DEMAND, gone);
  t.is(sent.length, 0);
  const { controller } = request();
  await clock.advanceAsync(100);
  controller.abort();
  await clock.advanceAsync(20);
  t.deepEqual(outcomes, ['cancelled', 'cancelled']);
  t.is(client.countWaiting(), 0);
  t.deepEqual(listCancelled(sent), [`a ${sent[0]?.request.demands[0]?.ticket}`]);
  // A grant that crosses the departure of its caller is cancelled as well.
  Object.assign(answers, { a: () => 50 });
  request().controller.abort();
  await clock.advanceAsync(100);
  t.is(listCancelled(sent).length, 3);
});

test('an unused grant, starts and ends of runs are sent together, with whatever goes next', async (t) => {
  const { client, clock, request, sent } = build({ a: decide('send') });
  const granted = await request().outcome;
  if (granted.kind === 'send') {
    granted.cancel();
    granted.cancel();
  }
  const run = { server: 's-1', kvTokens: 5 };
  client.recordStarted('s', run);
  await clock.advanceAsync(19);
  t.is(sent.length, 1);
  client.recordEnded('s', { ...run, backup: null, ranMs: 9, samples: [] });
  await clock.advanceAsync(1);
  t.is(sent.length, 2);
  t.like(sent[1]?.request, { demands: [], startedRuns: [run] });
  t.is(sent[1]?.request.endedRuns.length, 1);
  t.is(listCancelled(sent).length, 1);
  client.recordStarted('s', run);
  request();
  t.deepEqual(sent[2]?.request.startedRuns, [run]);
  await clock.advanceAsync(100);
  t.is(sent.length, 3);
});

// Guards against a small VM that runs out of memory with waiting requests.
test('streams beyond the bounds in number and bytes are refused instead of waiting', async (t) => {
  const { client, clock, outcomes, request } = build({ a: decide('wait') });
  const heldBytes = 20 * 1024 * 1024;
  request(() => ({ ...DEMAND, heldBytes }));
  await clock.advanceAsync(0);
  request(() => ({ ...DEMAND, heldBytes }));
  await clock.advanceAsync(0);
  t.deepEqual([client.countWaiting(), ...outcomes], [1, 'refuse']);
  Array.from({ length: 256 }, () => request());
  await clock.advanceAsync(0);
  t.is(client.countWaiting(), 256);
});

test('at shutdown all waiting demands are refused with a time to come back', async (t) => {
  const { client, clock, request, sent } = build({ a: decide('wait') });
  const { outcome } = request();
  await clock.advanceAsync(0);
  client.refuseWaiting('leaving', 50);
  t.deepEqual(await outcome, { kind: 'refuse', reason: 'leaving', returnMs: 50 });
  await clock.advanceAsync(20);
  t.is(listCancelled(sent).length, 1);
  client.stop();
  t.is(clock.countTimers(), 0);
});
