import test from 'ava';
import { compareFailures, listTapFailures } from '..';

const REPORT = 'TAP version 13\nok 1 - a › b\nnot ok 2 - a › slow one\n1..2\n';

// Symptom: CI passes although a test fails that nobody knows of, or although tests did not run.
// Sequence: the list names a test with a like name; or the runner is killed in the middle.
// Cause: names compared in part, or an unfinished report read as one without failures.
test('passes over exactly the listed failures of a whole report', (t) => {
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
