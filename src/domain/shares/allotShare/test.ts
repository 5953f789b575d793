import test from 'ava';
import type { ShareLedger } from '../types';
import { allotShare, type AllotmentOptions } from '.';

const TOTAL_PARTS = 100;
const LEASE_MS = 100_000;
const COOLDOWN_MS = 13_000;

const build = (
  holdings: ShareLedger['holdings'],
  change: Partial<AllotmentOptions> = {},
): AllotmentOptions => ({
  ledger: { era: 1, closedUntilStoreMs: 0, holdings },
  self: { holder: 'a', incarnation: '1' },
  isLedgerExpected: false,
  usedParts: 0,
  era: 1,
  nowStoreMs: 500_000,
  totalParts: TOTAL_PARTS,
  vms: 4,
  leaseMs: LEASE_MS,
  cooldownMs: COOLDOWN_MS,
  ...change,
});

const hold = (holder: string, parts: number, untilStoreMs = 550_000) => ({
  holder,
  incarnation: '1',
  parts,
  untilStoreMs,
});

const sumParts = ({ holdings }: ShareLedger): number =>
  holdings.reduce((sum, { parts }) => sum + parts, 0);

test('a VM gets its even part of what is free, and a single one half of all', (t) => {
  t.is(allotShare(build([], { ledger: null })).parts, 25);
  t.is(allotShare(build([], { ledger: null, vms: 1 })).parts, 50);
  t.is(allotShare(build([hold('b', 90)])).parts, 10);
  t.is(allotShare(build([hold('b', TOTAL_PARTS)])).parts, 0);
});

test('the number of VMs is that of the holders if this one knows fewer', (t) => {
  const holders = Array.from({ length: 9 }, (_, index) => hold(`b-${index}`, 1));
  t.is(allotShare(build(holders, { vms: 1 })).parts, 10);
});

// Guards against parts that two VMs use within one window.
test('parts that were held or given back go to another VM only after the cooldown', (t) => {
  const ended = (msAgo: number) => [hold('b', 90, 500_000 - msAgo)];
  t.is(allotShare(build(ended(COOLDOWN_MS))).parts, 10);
  t.is(allotShare(build(ended(COOLDOWN_MS + 1))).parts, 25);
  const { ledger, parts } = allotShare(build([hold('a', 60), hold('b', 40)]));
  t.is(parts, 25);
  t.is(sumParts(ledger), TOTAL_PARTS);
  const next = build([], { ledger, self: { holder: 'c', incarnation: '1' } });
  t.is(allotShare(next).parts, 0);
  t.is(allotShare({ ...next, nowStoreMs: 500_001 + COOLDOWN_MS }).parts, 25);
});

// Guards against parts that are given out twice: a store that comes back without the ledger looks like
// one that never had any.
test('a lost ledger gives out nothing but what is in use until all leases have ended', (t) => {
  const lost = { ledger: null, isLedgerExpected: true };
  t.is(allotShare(build([], lost)).parts, 0);
  const { isRestored, ledger, parts } = allotShare(build([], { ...lost, usedParts: 20 }));
  t.true(isRestored);
  t.is(parts, 20);
  const next = build([], { ledger, self: { holder: 'c', incarnation: '1' } });
  t.is(allotShare(next).parts, 0);
  t.is(allotShare({ ...next, nowStoreMs: 500_000 + LEASE_MS + COOLDOWN_MS }).parts, 25);
});

test('a process that starts again takes the parts of its VM and is told so', (t) => {
  const { isInherited, parts } = allotShare(
    build([hold('a', 25), hold('b', 75)], { self: { holder: 'a', incarnation: '2' } }),
  );
  t.true(isInherited);
  t.is(parts, 25);
});

// Guards against parts that are given out twice: the newest holdings are missing in a ledger that was
// restored from a backup.
test('a restored ledger gives out nothing until all leases it may lack have ended', (t) => {
  const restored = allotShare(build([hold('a', 50)], { era: 2, usedParts: 20 }));
  t.is(restored.parts, 20);
  const { ledger } = restored;
  const next = build([], { ledger, era: 2, self: { holder: 'c', incarnation: '1' } });
  t.is(allotShare(next).parts, 0);
  const openMs = 500_000 + LEASE_MS + COOLDOWN_MS;
  t.is(allotShare({ ...next, nowStoreMs: openMs - 1 }).parts, 0);
  t.is(allotShare({ ...next, nowStoreMs: openMs }).parts, 25);
});
