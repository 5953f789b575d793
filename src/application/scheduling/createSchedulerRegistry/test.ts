import test from 'ava';
import { createFakeClock } from '../../../../standins/fakes';
import type { ScheduleRequest } from '../types';
import { createSchedulerRegistry } from '.';

const buildRequest = (service: string): ScheduleRequest => ({
  sender: { vm: 'vm-2', address: '10.0.0.2:7000', availabilityZone: 'z2' },
  service,
  demands: [],
  cancelledTickets: [],
  startedRuns: [],
  endedRuns: [],
});

/** Creates a registry with schedulers that record their requests and hold two demands each. */
const setUp = () => {
  const clock = createFakeClock();
  const services = new Set(['a', 'b']);
  const events: string[] = [];
  const writeLine = (message: string, { reason = '', service }: Record<string, unknown>): void => {
    events.push([message, service, reason].join(' ').trim());
  };
  const registry = createSchedulerRegistry({
    createScheduler: (service) => ({
      handleRequest: (request) => {
        events.push(`${service} handles ${request.service}`);
        return { isOwner: true, decisions: [] };
      },
      countWaiting: () => 2,
      stop: () => events.push(`${service} stops`),
    }),
    hasService: (service) => services.has(service),
    clock,
    log: { info: writeLine, warn: writeLine, error: writeLine },
  });
  const isOwner = (service: string): boolean =>
    registry.handleRequest(buildRequest(service)).isOwner;
  return { clock, events, isOwner, registry, services };
};

test('the first request of a service starts its scheduler, later ones reach the same', (t) => {
  const { events, isOwner, registry } = setUp();
  t.true(isOwner('a'));
  t.true(isOwner('a'));
  t.deepEqual(events, ['scheduler started a', 'a handles a', 'a handles a']);
  t.true(isOwner('b'));
  t.deepEqual(registry.listServices(), ['a', 'b']);
  t.is(registry.countWaiting(), 4);
});

test('an unknown service has no scheduler, and one that is removed loses it', (t) => {
  const { events, isOwner, registry, services } = setUp();
  t.false(isOwner('c'));
  t.deepEqual(events, []);
  t.true(isOwner('a'));
  services.delete('a');
  t.false(isOwner('a'));
  t.deepEqual(events.slice(2), ['a stops', 'scheduler stopped a unknown service']);
  t.deepEqual(registry.listServices(), []);
});

// Guards against a former scheduler that goes on to query servers after another VM took over.
test('a scheduler stops 30 s after its last request and starts again with the next', (t) => {
  const { clock, events, isOwner, registry } = setUp();
  isOwner('a');
  clock.advance(20_000);
  isOwner('a');
  clock.advance(29_999);
  t.deepEqual(registry.listServices(), ['a']);
  clock.advance(1);
  t.deepEqual(registry.listServices(), []);
  t.is(events.at(-1), 'scheduler stopped a no requests');
  t.is(clock.countTimers(), 0);
  t.true(isOwner('a'));
  t.is(events.at(-2), 'scheduler started a');
});

// Guards against two schedulers that grant one stream twice while a VM shuts down.
test('once it accepts no more, all schedulers are stopped and no request starts one', (t) => {
  const { clock, events, isOwner, registry } = setUp();
  isOwner('a');
  registry.stopAccepting();
  t.false(isOwner('a'));
  t.false(isOwner('b'));
  t.is(registry.countWaiting(), 0);
  registry.stop();
  t.deepEqual(events.slice(2), ['a stops', 'scheduler stopped a VM is shutting down']);
  t.is(clock.countTimers(), 0);
});

test('stopping the registry stops its schedulers', (t) => {
  const { clock, events, isOwner, registry } = setUp();
  isOwner('a');
  isOwner('b');
  registry.stop();
  t.deepEqual(
    events.filter((event) => event.startsWith('scheduler stopped')),
    ['scheduler stopped a stopped', 'scheduler stopped b stopped'],
  );
  t.is(clock.countTimers(), 0);
});
