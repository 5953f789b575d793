import test from 'ava';
import { compareFailures, listTapFailures } from '..';

const REPORT = 'TAP version 13\nok 1 - a › b\nnot ok 2 - a › slow one\n1..2\n';

// Guards against CI passing although an unlisted test fails or tests did not run: names compared
// only in part would match a similar name, and the report of a killed runner would seem complete.
test('ignores exactly the listed failures, and only in a complete report', (t) => {
  t.deepEqual(listTapFailures(REPORT), ['a › slow one']);
  t.is(listTapFailures(REPORT.replace('1..2\n', '')), null);
  const line = 'a › slow one — loses a race — issue 4';
  const entry = { name: 'a › slow one', suite: 'unit', line } as const;
  t.deepEqual(compareFailures(['a › slow one'], [entry]), {
    known: [line],
    unknown: [],
    stale: [],
  });
  t.deepEqual(compareFailures(['a › slow one too'], [entry]), {
    known: [],
    unknown: ['a › slow one too'],
    stale: [line],
  });
});
