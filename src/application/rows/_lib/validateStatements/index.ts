import { err, ok, type Result } from 'neverthrow';
import type { StatementsResponse, StatementsRequest, TableStatement } from '../../types';

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

const findProblem = (
  { after, ageMs, outageEndedAgoMs, rows, table, version }: TableStatement,
  request: StatementsRequest,
): string | null => {
  const asked = request.held.find((held) => held.table === table);
  if (!asked) return 'a table that was not asked for';
  if (!isCount(after) || !isCount(version)) return 'a version that is none';
  // A VM that knows less than this one says so; nothing of that is taken.
  const isOlder = version < asked.version;
  if (!isOlder && after !== 0 && after !== asked.version) return 'changes after another version';
  if (!(ageMs >= 0)) return 'an age that is none';
  if (outageEndedAgoMs !== null && !Number.isFinite(outageEndedAgoMs))
    return 'no time of an outage';
  // Rows that came from elsewhere may be newer than what is complete.
  if (rows.some((row) => !isCount(row.version) || row.version <= after)) return 'an older row';
  return null;
};

/** Checks what another VM answered; an error says what is wrong, and nothing of it is taken. */
export const validateStatements = (
  statements: StatementsResponse,
  request: StatementsRequest,
): Result<StatementsResponse, string> => {
  if (!(statements.heldMs >= 0)) return err('a time held that is none');
  const problem = statements.tables.map((one) => findProblem(one, request)).find(Boolean);
  return problem ? err(problem) : ok(statements);
};
