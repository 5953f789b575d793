import { create } from '@bufbuild/protobuf';
import type { TableChanges } from '../../../../application/gossip';
import type { SharedRow } from '../../../../application/ports';
import {
  RowSchema,
  TableChangesSchema,
  type Row,
  type TableChanges as TableChangesMessage,
} from '../../gen/gateway_pb';
import { encodeRowValue, decodeRowValue } from '../encodeRowValue';

const buildRow = ({ key, value, version }: SharedRow): Row =>
  create(RowSchema, {
    key,
    ...(value ? encodeRowValue(value) : {}),
    removed: value === null,
    version: BigInt(version),
  });

const readRow = ({ isDeflated, key, removed, value, version }: Row): SharedRow => ({
  key,
  value: removed ? null : decodeRowValue({ value, isDeflated }),
  version: Number(version),
});

/** Converts the changes of a table to their protobuf message. */
export const buildTableChanges = ({
  after,
  rows,
  table,
  version,
}: TableChanges): TableChangesMessage =>
  create(TableChangesSchema, {
    table,
    after: BigInt(after),
    version: BigInt(version),
    rows: rows.map(buildRow),
  });

/** Converts a protobuf message to the changes of a table; throws if a value cannot be decoded. */
export const readTableChanges = ({
  after,
  rows,
  table,
  version,
}: TableChangesMessage): TableChanges => ({
  table,
  after: Number(after),
  version: Number(version),
  rows: rows.map(readRow),
});
