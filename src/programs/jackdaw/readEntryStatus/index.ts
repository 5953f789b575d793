import { z } from 'zod';
import type { OperatorCalls } from '../../../application/peers';

const statusSchema = z.object({
  configuration: z.object({ version: z.number() }).nullable(),
  tableReadAgeMs: z.number().nullable().default(null),
});

/** The part of an entry's status that commands use. */
export interface EntryStatus {
  /** Version in force at the entry, 0 if none. */
  readonly version: number;
  /** Age of the entry's latest read of the table, or null if it has read none. */
  readonly tableReadAgeMs: number | null;
}

/** Reads an entry's status, or null if it does not answer. */
export async function readEntryStatus(
  calls: OperatorCalls,
  peerAddress: string,
): Promise<EntryStatus | null> {
  const read = await calls.readStatus(peerAddress);
  const status = read.isOk() ? statusSchema.safeParse(read.value) : null;
  if (status?.success !== true) {
    return null;
  }
  const { configuration, tableReadAgeMs } = status.data;
  return { version: configuration?.version ?? 0, tableReadAgeMs };
}
