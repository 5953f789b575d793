import test from 'ava';
import { hasMissedRows } from '.';

test('nothing is missing if the newest version is held', (t) => {
  t.false(hasMissedRows({ held: 9, newest: 9, otherRowVersions: [] }));
  t.false(hasMissedRows({ held: 11, newest: 9, otherRowVersions: [] }));
});

test('nothing is missing if all newer changes are of the other table', (t) => {
  t.false(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [8, 9] }));
  t.false(hasMissedRows({ held: 8, newest: 9, otherRowVersions: [8, 9] }));
});

test('a newer change that is not of the other table may be missing', (t) => {
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [9] }));
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [] }));
});

test('a duplicate version accounts for one change only', (t) => {
  t.true(hasMissedRows({ held: 7, newest: 9, otherRowVersions: [9, 9] }));
});
