import { z } from 'zod';
import type { TableItem } from '../../../../application/ports';

/** An item as the DynamoDB JSON protocol carries it. */
export const WireItem = z.object({
  pk: z.object({ S: z.string() }),
  sk: z.object({ S: z.string() }),
  rev: z.object({ N: z.string() }),
  body: z.object({ S: z.string() }),
  exp: z.object({ N: z.string() }).optional(),
});

/** An item as the DynamoDB JSON protocol carries it. */
export type WireItem = z.infer<typeof WireItem>;

/** Converts a row to its form on the wire; `exp` is left out of rows that never expire. */
export function convertToWireItem(item: TableItem): WireItem {
  const wire = {
    pk: { S: item.partition },
    sk: { S: item.sort },
    rev: { N: String(item.revision) },
    body: { S: item.body },
  };
  return item.expiresAtS === 0 ? wire : { ...wire, exp: { N: String(item.expiresAtS) } };
}

/** Converts a row from its form on the wire. */
export function convertFromWireItem(wire: WireItem): TableItem {
  return {
    partition: wire.pk.S,
    sort: wire.sk.S,
    revision: Number(wire.rev.N),
    body: wire.body.S,
    expiresAtS: Number(wire.exp?.N ?? 0),
  };
}
