import test from 'ava';
import type { ServerStatus } from '../types';
import { chooseForwardServer } from '.';

const build = (id: string, zone: string, change: Partial<ServerStatus> = {}): ServerStatus => ({
  entry: {
    id,
    service: 's',
    address: `${id}:1`,
    availabilityZone: zone,
    slots: 4,
    isLeaving: false,
    warmupLeftMs: 0,
  },
  running: 0,
  prefillTokens: 0,
  copies: 0,
  reported: 0,
  isSuspected: false,
  ...change,
});

const NONE = {
  excludedIds: new Set<string>(),
  avoidedZone: null,
  preferredZone: null,
  draw: 0,
};

const choose = (servers: readonly ServerStatus[], change: Partial<typeof NONE> = {}) =>
  chooseForwardServer(servers, { ...NONE, ...change })?.entry.id ?? null;

test('the least loaded server is chosen; among nearly equal ones the draw decides', (t) => {
  const servers = [build('a', 'z1', { running: 3 }), build('b', 'z1'), build('c', 'z2')];
  t.is(choose(servers), 'b');
  t.is(choose(servers, { draw: 0.9 }), 'c');
});

test('suspected servers and the avoided zone are left out as long as there are others', (t) => {
  const servers = [build('a', 'z1', { isSuspected: true }), build('b', 'z2'), build('c', 'z3')];
  t.is(choose(servers, { avoidedZone: 'z2' as never }), 'c');
  t.is(choose([build('a', 'z1', { isSuspected: true })]), 'a');
});

test('a server that failed the request is never chosen again for it', (t) => {
  t.is(choose([build('a', 'z1')], { excludedIds: new Set(['a']) }), null);
});

test('prompts that are still read and copies weigh as well', (t) => {
  const reading = build('a', 'z1', { prefillTokens: 8000 });
  const holding = build('b', 'z1', { copies: 4 });
  t.is(choose([reading, holding, build('c', 'z1')], { draw: 0.99 }), 'c');
});
