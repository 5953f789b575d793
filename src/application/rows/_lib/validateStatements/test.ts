import test from 'ava';
import type { StatementsRequest, TableStatement } from '../../types';
import { validateStatements } from '.';

const REQUEST: StatementsRequest = {
  held: [{ table: 'op', version: 5, ageMs: 100 }],
  waitMs: 1000,
};

const VALID_STATEMENT: TableStatement = {
  table: 'op',
  after: 5,
  version: 8,
  rows: [{ key: 'config', value: Buffer.from('x'), version: 8 }],
  ageMs: 3,
  outageEndedAgoMs: null,
};

const check = (change: Partial<TableStatement>, heldMs = 10) =>
  validateStatements(
    { heldMs, isCutOff: false, tables: [{ ...VALID_STATEMENT, ...change }] },
    REQUEST,
  );

test('changes, whole tables and older versions of a requested table are accepted', (t) => {
  t.true(check({}).isOk());
  t.true(check({ after: 0 }).isOk());
  t.true(check({ after: 3, version: 3, rows: [] }).isOk());
  t.true(check({ ageMs: Infinity }).isOk());
});

test('malformed statements and tables that were not requested are refused with a reason', (t) => {
  const refused: readonly Partial<TableStatement>[] = [
    { table: 'servers' },
    { after: 4 },
    { after: 6, version: 9 },
    { version: -1 },
    { version: 8.5 },
    { version: Number.NaN },
    { ageMs: -1 },
    { ageMs: Number.NaN },
    { outageEndedAgoMs: Number.NaN },
    { rows: [{ key: 'config', value: null, version: 5 }] },
    { rows: [{ key: 'config', value: null, version: -3 }] },
  ];
  refused.forEach((change) => {
    const checked = check(change);
    t.true(checked.isErr(), JSON.stringify(change));
    t.true((checked.isErr() ? checked.error : '').length > 0);
  });
  t.true(check({}, Number.NaN).isErr());
  t.true(check({}, -1).isErr());
});
