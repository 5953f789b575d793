import test from 'ava';
import { listTriedServers } from '.';

const QUARANTINE = {
  fingerprint: 'part-a',
  isCertain: true,
  ranMs: 60,
  servers: ['i-1', 'i-2'],
  lastCrashAtMs: 0,
};

// Guards against a trial that is forgotten with the VM that sent it, so that the next one follows soon.
test('a trial without a known outcome counts as a crash', (t) => {
  const tried = listTriedServers({ ...QUARANTINE, trialStoreMs: 7, trialServers: 2 });
  t.deepEqual(tried, ['i-1', 'i-2', 'trial 7']);
});

test('a trial whose crash is known does not count again', (t) => {
  const tried = listTriedServers({ ...QUARANTINE, trialStoreMs: 7, trialServers: 1 });
  t.deepEqual(tried, QUARANTINE.servers);
});

test('without a trial, or with one of an earlier version, the servers are those that crashed', (t) => {
  t.deepEqual(listTriedServers(QUARANTINE), QUARANTINE.servers);
  t.deepEqual(listTriedServers({ ...QUARANTINE, trialStoreMs: 7 }), QUARANTINE.servers);
});
