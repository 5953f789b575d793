import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { judgeCrashes } from '.';

const buildCrashes = (...requestIds: readonly string[]) =>
  requestIds.map((requestId, index) =>
    buildRunOutcome({ requestId, server: `i-${index}`, atMs: 1000 * index }),
  );

test('three crashes are enough to hold a request responsible', (t) => {
  const options = { isPart: false, hasAnswer: true };
  t.true(judgeCrashes(buildCrashes('r-1', 'r-1', 'r-1'), options));
  t.false(judgeCrashes(buildCrashes('r-1', 'r-1'), options));
});

test('a part is held responsible only if servers crashed under several requests', (t) => {
  const options = { isPart: true, hasAnswer: false };
  t.false(judgeCrashes(buildCrashes('r-1', 'r-1', 'r-1', 'r-1'), options));
  t.true(judgeCrashes(buildCrashes('r-1', 'r-1', 'r-2'), options));
});

test('a part that servers have answered as well needs five crashes', (t) => {
  const options = { isPart: true, hasAnswer: true };
  t.false(judgeCrashes(buildCrashes('r-1', 'r-2', 'r-3', 'r-4'), options));
  t.true(judgeCrashes(buildCrashes('r-1', 'r-2', 'r-3', 'r-4', 'r-5'), options));
});
