import { z } from 'zod';
import type { OperatorCalls } from '../../../application/peers';

const statusSchema = z.object({ configuration: z.object({ version: z.number() }).nullable() });

/** Reads the version in force at a process: 0 if it has none, null if it does not answer. */
export async function readVersionAt(
  calls: OperatorCalls,
  peerAddress: string,
): Promise<number | null> {
  const read = await calls.readStatus(peerAddress);
  const status = read.isOk() ? statusSchema.safeParse(read.value) : null;
  return status?.success === true ? (status.data.configuration?.version ?? 0) : null;
}
