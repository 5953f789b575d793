import { z } from 'zod';
import type { TableItem } from '../../../../application/ports';

/** Schema of an item in the DynamoDB JSON protocol. */
export const WireItem = z.object({
  pk: z.object({ S: z.string() }),
  sk: z.object({ S: z.string() }),
  rev: z.object({ N: z.string() }),
  body: z.object({ S: z.string() }),
  exp: z.object({ N: z.string() }).optional(),
});

/** An item in the DynamoDB JSON protocol. */
export type WireItem = z.infer<typeof WireItem>;

/** Converts an item to its wire format, without `exp` if the item never expires. */
export function convertToWireItem(item: TableItem): WireItem {
  const wire = {
    pk: { S: item.partition },
    sk: { S: item.sort },
    rev: { N: String(item.revision) },
    body: { S: item.body },
  };
  return item.expiresAtS === 0 ? wire : { ...wire, exp: { N: String(item.expiresAtS) } };
}

/** Converts an item from its wire format. */
export function convertFromWireItem(wire: WireItem): TableItem {
  return {
    partition: wire.pk.S,
    sort: wire.sk.S,
    revision: Number(wire.rev.N),
    body: wire.body.S,
    expiresAtS: Number(wire.exp?.N ?? 0),
  };
}
