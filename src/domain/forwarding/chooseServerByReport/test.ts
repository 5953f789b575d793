import test from 'ava';
import fc from 'fast-check';
import { buildServerReport, buildServerStatus } from '../../../../standins/fakes';
import type { ServerReport } from '../types';
import { chooseServerByReport, type ReportedServer } from '.';

const buildRelativePace = (ratio: number) => ({ ratio, workFactor: 1, slowness: ratio });

const NONE = { neededKvTokens: 9000, promptTokens: 8000, preferredZone: null };

const build = (
  id: string,
  zone: string,
  change: Partial<ServerReport> = {},
  copies = 0,
): ReportedServer => ({
  entry: buildServerStatus(id, zone).entry,
  copies,
  pendingPrefillTokens: 0,
  report: buildServerReport(change),
});

const choose = (servers: readonly ReportedServer[], change: Partial<typeof NONE> = {}) =>
  chooseServerByReport(servers, { ...NONE, ...change })?.entry.id ?? null;

const runs = (count: number): ReadonlyMap<string, number> =>
  new Map(Array.from({ length: count }, (_, index) => [`r-${index}`, 5]));

test('a waiting prompt counts more than many generating runs', (t) => {
  const generating = build('a', 'z1', { running: 8, eventsByRun: runs(8) });
  t.is(choose([build('b', 'z1', { waiting: 1 }), generating]), 'a');
});

test('a run that is not listed yet is in prefill, and counts almost as a waiting one', (t) => {
  const prefilling = build('a', 'z1', { running: 2, eventsByRun: runs(1) });
  t.is(choose([prefilling, build('b', 'z1', { running: 4, eventsByRun: runs(4) })]), 'b');
});

test('a server without enough KV memory for the request is chosen last', (t) => {
  const full = build('a', 'z1', { kvUsedTokens: 70_000 });
  t.is(choose([full, build('b', 'z1', { waiting: 3 })]), 'b');
  t.is(choose([full], { neededKvTokens: 9000 }), 'a');
});

test('copies count as little load, and the preferred zone decides between equal servers', (t) => {
  t.is(choose([build('a', 'z1', {}, 1), build('b', 'z2')]), 'b');
  const equal = [build('a', 'z1'), build('b', 'z2')];
  t.is(choose(equal), 'a');
  t.is(chooseServerByReport(equal, { ...NONE, preferredZone: 'z2' })?.entry.id, 'b');
});

test('prompts sent just now count before a report includes them', (t) => {
  const sentTo = { ...build('a', 'z1'), pendingPrefillTokens: 8000 };
  t.is(choose([sentTo, build('b', 'z1', { running: 6, eventsByRun: runs(6) })]), 'b');
  t.is(choose([sentTo, build('b', 'z1', { waiting: 2 })]), 'a');
});

test('no server is chosen if there are none', (t) => {
  t.is(choose([]), null);
});

test('with servers of one speed, the choice is the one without speeds', (t) => {
  const count = fc.integer({ min: 0, max: 20 });
  const servers = fc.array(fc.record({ waiting: count, running: count }), { maxLength: 6 });
  fc.assert(
    fc.property(servers, (changes) => {
      const built = changes.map((change, index) => build(`i-${index}`, `z${index % 3}`, change));
      const paced = chooseServerByReport(built, { ...NONE, readPace: () => buildRelativePace(1) });
      t.is(paced?.entry.id ?? null, choose(built));
    }),
  );
});

test('a slow server is chosen once the fast one has more prompts than its speed makes up for', (t) => {
  const readPace = ({ id }: { readonly id: string }) => buildRelativePace(id === 'fast' ? 0.5 : 1);
  const chooseBeside = (waiting: number): string | undefined =>
    chooseServerByReport([build('fast', 'z1', { waiting }), build('slow', 'z1')], {
      ...NONE,
      readPace,
    })?.entry.id;
  t.is(chooseBeside(0), 'fast');
  t.is(chooseBeside(2), 'slow');
});
