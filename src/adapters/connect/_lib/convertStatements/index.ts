import { create } from '@bufbuild/protobuf';
import type { StatementsResponse, StatementsRequest } from '../../../../application/rows';
import {
  FollowTablesRequestSchema,
  FollowTablesResponseSchema,
  HeldTableSchema,
  TableStatementSchema,
  type FollowTablesRequest,
  type FollowTablesResponse,
} from '../../gen/gateway_pb';
import { buildTableChanges, readTableChanges } from '../convertTableChanges';

/** Converts a request to its message. */
export const buildStatementsRequestMessage = ({
  held,
  waitMs,
}: StatementsRequest): FollowTablesRequest =>
  create(FollowTablesRequestSchema, {
    held: held.map(({ ageMs, table, version }) =>
      create(HeldTableSchema, { table, version: BigInt(version), ageMs }),
    ),
    waitMs: Math.round(waitMs),
  });

/** Converts a message to a request. */
export const readStatementsRequestMessage = ({
  held,
  waitMs,
}: FollowTablesRequest): StatementsRequest => ({
  held: held.map(({ ageMs, table, version }) => ({ table, version: Number(version), ageMs })),
  waitMs,
});

/** Converts an answer to its message. */
export const buildStatementsMessage = (statements: StatementsResponse): FollowTablesResponse =>
  create(FollowTablesResponseSchema, {
    heldMs: statements.heldMs,
    isCutOff: statements.isCutOff,
    tables: statements.tables.map((statement) =>
      create(TableStatementSchema, {
        changes: buildTableChanges(statement),
        ageMs: statement.ageMs,
        ...(statement.outageEndedAgoMs === null
          ? {}
          : { outageEndedAgoMs: statement.outageEndedAgoMs }),
      }),
    ),
  });

/** Converts a message to an answer; throws if a value is none. */
export const readStatementsMessage = (message: FollowTablesResponse): StatementsResponse => ({
  heldMs: message.heldMs,
  isCutOff: message.isCutOff,
  tables: message.tables.flatMap(({ ageMs, changes, outageEndedAgoMs }) =>
    changes
      ? [{ ...readTableChanges(changes), ageMs, outageEndedAgoMs: outageEndedAgoMs ?? null }]
      : [],
  ),
});
