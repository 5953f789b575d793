import test from 'ava';
import { computeRowVersion } from '../computeRowVersion';
import { parseRowVersion } from '.';

test('parsing a version returns its era and revision', (t) => {
  [
    { era: 0, revision: 7 },
    { era: 1, revision: 1 },
    { era: 2 ** 20 - 1, revision: 2 ** 32 - 1 },
  ].forEach((position) => {
    const version = computeRowVersion(position);
    t.true(Number.isSafeInteger(version));
    t.deepEqual(parseRowVersion(version), position);
  });
});

test('a change of a later era is newer, even with a lower revision', (t) => {
  const before = computeRowVersion({ era: 3, revision: 90 });
  t.true(computeRowVersion({ era: 4, revision: 2 }) > before);
});

test('a store without any change has version 0 in each era', (t) => {
  t.is(computeRowVersion({ era: 5, revision: 0 }), 0);
});
