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

/** Converts a statements request to its protobuf message. */
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

/** Converts a protobuf message to a statements request. */
export const readStatementsRequestMessage = ({
  held,
  waitMs,
}: FollowTablesRequest): StatementsRequest => ({
  held: held.map(({ ageMs, table, version }) => ({ table, version: Number(version), ageMs })),
  waitMs,
});

/** Converts a statements response to its protobuf message. */
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

/** Converts a protobuf message to a statements response; throws if a value cannot be decoded. */
export const readStatementsMessage = (message: FollowTablesResponse): StatementsResponse => ({
  heldMs: message.heldMs,
  isCutOff: message.isCutOff,
  tables: message.tables.flatMap(({ ageMs, changes, outageEndedAgoMs }) =>
    changes
      ? [{ ...readTableChanges(changes), ageMs, outageEndedAgoMs: outageEndedAgoMs ?? null }]
      : [],
  ),
});
