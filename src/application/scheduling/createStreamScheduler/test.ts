import test from 'ava';
import type { ServerReport } from '../../../domain/forwarding';
import {
  buildServerReport,
  buildStreamDemand,
  createSchedulerFixture,
  type SchedulerFixture,
} from '../../../../standins/fakes';

/** Less urgent, and with time to wait for several runs. */
const LESS_URGENT = {
  requestClass: { priority: 2, routePriority: 2 },
  goalLeftMs: 30_000,
  leftMs: 90_000,
};

/** Runs that are past their prefill. */
const buildLoaded = (running: number, change: Partial<ServerReport> = {}): ServerReport =>
  buildServerReport({ running, eventsByRun: null, ...change });

/** Lets the first reports arrive: the ticket `first` is granted and runs at the first server. */
const start = async (fixture: SchedulerFixture): Promise<void> => {
  fixture.ask(buildStreamDemand('first', LESS_URGENT));
  await fixture.clock.advanceAsync(0);
  fixture.reports.set('a', buildLoaded(1));
};

const END = { server: 'a', kvTokens: 9000, backup: null, ranMs: 6000, samples: [] };

test('nothing is granted before the first report; then the waiting stream is', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  t.deepEqual(fixture.ask(buildStreamDemand('t')), ['wait']);
  await fixture.clock.advanceAsync(0);
  t.deepEqual(fixture.listGranted(), ['t']);
});

test('servers that do not report are used by what the directory knows after a while', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  fixture.reports.set('a', null);
  fixture.ask(buildStreamDemand('t'));
  await fixture.clock.advanceAsync(190);
  t.deepEqual(fixture.listGranted(), []);
  await fixture.clock.advanceAsync(60);
  t.deepEqual(fixture.listGranted(), ['t']);
});

test('a renewal gets the same grant again, until it is cancelled', async (t) => {
  const fixture = createSchedulerFixture(['a', 'b']);
  await start(fixture);
  const [one] = fixture.send({ demands: [buildStreamDemand('t')] });
  t.is(one?.kind, 'send');
  t.deepEqual(fixture.send({ demands: [buildStreamDemand('t', { waitedMs: 500 })] }), [one]);
  t.deepEqual(fixture.ask(buildStreamDemand('u', LESS_URGENT)), ['wait']);
  fixture.send({ cancelledTickets: ['t'] });
  await fixture.clock.advanceAsync(60);
  t.deepEqual(fixture.listGranted().at(-1), 'u');
});

test('a VM that ends with waiting callers frees their places', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  t.deepEqual(fixture.ask(buildStreamDemand('t', LESS_URGENT)), ['wait']);
  await fixture.clock.advanceAsync(1300);
  t.is(fixture.scheduler.countWaiting(), 0);
});

test('a grant that is declined goes to the next stream', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  fixture.ask(buildStreamDemand('t', LESS_URGENT), buildStreamDemand('u', LESS_URGENT));
  fixture.declined.add('t');
  fixture.reports.set('a', buildServerReport());
  await fixture.clock.advanceAsync(1100);
  t.deepEqual(
    fixture.delivered.map(({ decision }) => decision.ticket),
    ['first', 't', 'u'],
  );
  t.deepEqual(fixture.listGranted(), ['first', 'u']);
});

test('a scheduler that starts while runs are under way does not overfill the servers', async (t) => {
  const fixture = createSchedulerFixture(['a', 'b'], 2);
  fixture.reports.set('a', buildLoaded(2));
  fixture.reports.set('b', buildLoaded(1));
  const demands = ['t', 'u', 'v'].map((ticket) => buildStreamDemand(ticket, LESS_URGENT));
  fixture.ask(...demands);
  await fixture.clock.advanceAsync(150);
  t.deepEqual(fixture.listGranted(), ['t']);
});

test('a server that starts again under its id is empty', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  fixture.reports.set('a', buildLoaded(1, { bornMs: 1000 }));
  fixture.ask(buildStreamDemand('t', LESS_URGENT));
  await fixture.clock.advanceAsync(100);
  t.deepEqual(fixture.listGranted(), []);
  fixture.reports.set('a', null);
  const status = fixture.statuses.get('a');
  if (status) fixture.statuses.set('a', { ...status, entry: { ...status.entry, bornMs: 2000 } });
  await fixture.clock.advanceAsync(60);
  t.deepEqual(fixture.listGranted(), ['t']);
});

test('a server whose report is two seconds old gets no stream while others report', async (t) => {
  const fixture = createSchedulerFixture(['a', 'b'], 12);
  fixture.reports.set('b', buildLoaded(3));
  await start(fixture);
  fixture.reports.set('a', null);
  await fixture.clock.advanceAsync(2000);
  t.like(fixture.send({ demands: [buildStreamDemand('t')] }), [{ kind: 'send', server: 'b' }]);
});

test('a class that a renewal changes puts the stream in its new place', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  const later = buildStreamDemand('later', LESS_URGENT);
  fixture.ask(buildStreamDemand('t', LESS_URGENT), later);
  await fixture.clock.advanceAsync(500);
  fixture.ask({ ...later, requestClass: { priority: 0, routePriority: 0 }, waitedMs: 500 });
  fixture.send({ endedRuns: [END] });
  await fixture.clock.advanceAsync(600);
  t.deepEqual(fixture.listGranted(), ['first', 'later']);
});

test('an urgent stream goes before all less urgent ones that wait longer', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  fixture.ask(buildStreamDemand('t', LESS_URGENT), buildStreamDemand('u', LESS_URGENT));
  await fixture.clock.advanceAsync(700);
  const requestClass = { priority: 0, routePriority: 0 };
  fixture.ask(buildStreamDemand('urgent', { ...LESS_URGENT, requestClass }));
  fixture.send({ endedRuns: [END] });
  await fixture.clock.advanceAsync(400);
  t.deepEqual(fixture.listGranted(), ['first', 'urgent']);
});

test('a stream that lost its server is granted at once, beyond the limits', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  t.deepEqual(fixture.ask(buildStreamDemand('t', { isResumed: true })), ['send']);
});

test('a prompt that no server can hold is refused for good', async (t) => {
  const fixture = createSchedulerFixture(['a']);
  await start(fixture);
  const decisions = fixture.send({ demands: [buildStreamDemand('t', { promptTokens: 90_000 })] });
  t.like(decisions, [{ kind: 'refuse', returnMs: 0 }]);
});

test('it answers for no other service, and for none once it is stopped', (t) => {
  const { scheduler, send } = createSchedulerFixture(['a']);
  t.deepEqual(send({ service: 'other' }), []);
  scheduler.stop();
  const request = { cancelledTickets: [], demands: [], endedRuns: [], startedRuns: [] };
  const sender = { vm: 'vm', address: 'vm:1', availabilityZone: 'za' };
  t.false(scheduler.handleRequest({ ...request, sender, service: 's' }).isOwner);
});
