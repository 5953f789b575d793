import { err, ok, type Result } from 'neverthrow';
import type { StatementsResponse, StatementsRequest, TableStatement } from '../../types';

const isCount = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

const findProblem = (
  { after, ageMs, outageEndedAgoMs, rows, table, version }: TableStatement,
  request: StatementsRequest,
): string | null => {
  const requested = request.held.find((held) => held.table === table);
  if (!requested) return 'the table was not requested';
  if (!isCount(after) || !isCount(version)) return 'the version is not a non-negative integer';
  // A VM that is behind this one may answer with an older version; its rows are ignored.
  const isOlder = version < requested.version;
  if (!isOlder && after !== 0 && after !== requested.version)
    return 'the changes do not follow the held version';
  if (!(ageMs >= 0)) return 'the age is negative or not a number';
  if (outageEndedAgoMs !== null && !Number.isFinite(outageEndedAgoMs))
    return 'the end of the outage is not a finite number';
  // Rows learned from other VMs may be newer than the version up to which the table is complete.
  if (rows.some((row) => !isCount(row.version) || row.version <= after))
    return 'a row is not newer than the version that the changes follow';
  return null;
};

/** Validates the response of another VM; the error names the first problem found. */
export const validateStatements = (
  statements: StatementsResponse,
  request: StatementsRequest,
): Result<StatementsResponse, string> => {
  if (!(statements.heldMs >= 0)) return err('the held time is negative or not a number');
  const problem = statements.tables.map((one) => findProblem(one, request)).find(Boolean);
  return problem ? err(problem) : ok(statements);
};
