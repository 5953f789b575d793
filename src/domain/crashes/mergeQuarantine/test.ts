import test from 'ava';
import { MAX_QUARANTINE_SERVERS, type Quarantine } from '../types';
import { mergeQuarantine } from '.';

const KNOWN: Quarantine = {
  fingerprint: 'part-a',
  isCertain: true,
  ranMs: 60,
  servers: ['i-1', 'i-3'],
  lastCrashAtMs: 500,
};

test('servers of the row and of the VM are both kept, each once', (t) => {
  const merged = mergeQuarantine({ ...KNOWN, servers: ['i-1', 'i-2'], lastCrashAtMs: 400 }, KNOWN);
  t.deepEqual(merged.servers, ['i-1', 'i-2', 'i-3']);
  t.is(merged.lastCrashAtMs, 500);
});

// Guards against a row that loses its last trial, after which the next one follows at once.
test('the last trial of the row is kept', (t) => {
  const merged = mergeQuarantine({ ...KNOWN, trialStoreMs: 7, trialServers: 2 }, KNOWN);
  t.like(merged, { trialStoreMs: 7, trialServers: 2 });
});

test('without a row the quarantine is that of the VM', (t) => {
  t.is(mergeQuarantine(null, KNOWN), KNOWN);
});

test('the number of servers is bounded', (t) => {
  const servers = Array.from({ length: MAX_QUARANTINE_SERVERS }, (_, index) => `old-${index}`);
  const merged = mergeQuarantine({ ...KNOWN, servers }, KNOWN);
  t.is(merged.servers.length, MAX_QUARANTINE_SERVERS);
  t.is(merged.servers.at(-1), 'i-3');
});
