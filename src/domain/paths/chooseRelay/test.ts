import test from 'ava';
import { chooseRelay } from '.';
import type { Relay } from '../types';

const buildRelay = (vm: string, change: Partial<Relay> = {}): Relay => ({
  vm,
  address: `${vm}:1`,
  askedIds: new Set(['i-1', 'i-2']),
  reachedIds: new Set(['i-1', 'i-2']),
  load: 0,
  isDoubted: false,
  ...change,
});

const drawInTurn = (...fractions: readonly number[]) => {
  const rest = [...fractions];
  return () => rest.shift() ?? 0;
};

test('only a VM that reaches the server is chosen', (t) => {
  const relays = [buildRelay('a', { reachedIds: new Set(['i-2']) }), buildRelay('b')];
  t.is(chooseRelay(relays, { serverId: 'i-1', drawFraction: () => 0 })?.vm, 'b');
  t.is(chooseRelay([relays[0]!], { serverId: 'i-1', drawFraction: () => 0 }), null);
  t.is(chooseRelay([], { serverId: 'i-1', drawFraction: () => 0 }), null);
});

test('a server that a VM was not asked about counts as reached if most others are', (t) => {
  const most = buildRelay('a');
  const half = buildRelay('b', { reachedIds: new Set(['i-1']) });
  t.is(chooseRelay([half, most], { serverId: 'i-9', drawFraction: () => 0 })?.vm, 'a');
});

test('of two drawn VMs the less loaded one is chosen', (t) => {
  const relays = [buildRelay('a', { load: 9 }), buildRelay('b', { load: 2 })];
  t.is(chooseRelay(relays, { serverId: 'i-1', drawFraction: drawInTurn(0, 0.9) })?.vm, 'b');
  t.is(chooseRelay(relays, { serverId: 'i-1', drawFraction: drawInTurn(0, 0) })?.vm, 'a');
});

test('a VM that left a request unanswered is chosen only without others', (t) => {
  const doubted = buildRelay('a', { isDoubted: true });
  const drawFraction = () => 0;
  t.is(chooseRelay([doubted, buildRelay('b')], { serverId: 'i-1', drawFraction })?.vm, 'b');
  t.is(chooseRelay([doubted], { serverId: 'i-1', drawFraction })?.vm, 'a');
});
