import test from 'ava';
import { hasMissedRows } from '.';

test('nothing is missing where the newest version is held', (t) => {
  t.false(hasMissedRows({ held: 9, newest: 9, otherRowVersions: [] }));
  t.false(hasMissedRows({ held: 11, newest: 9, otherRowVersions: [] }));
});

test('nothing is missing where all newer changes are of the other table', (t) => {
  t.false(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [8, 9] }));
  t.false(hasMissedRows({ held: 8, newest: 9, otherRowVersions: [8, 9] }));
});

test('a change that the other table does not explain may be missing', (t) => {
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [9] }));
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [] }));
});

test('a version that comes twice explains one change only', (t) => {
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [9, 9] }));
});
