import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { parseJson } from '../../json';
import type { LeaseRow } from '../types';

const schema = z.object({
  holder: z.string(),
  vm: z.string(),
  duration_ms: z.number().positive(),
});

/** A lease row that cannot be decoded. */
export interface LeaseRowError {
  readonly kind: 'malformed-lease';
  readonly reason: string;
}

/**
 * Decodes the body of a lease row.
 *
 * @param body - text that `encodeLeaseRow` wrote
 * @param revision - revision of the row
 * @returns the lease, or `malformed-lease`
 */
export function decodeLeaseRow(body: string, revision: number): Result<LeaseRow, LeaseRowError> {
  const parsed = schema.safeParse(parseJson(body));
  if (!parsed.success) {
    return err({ kind: 'malformed-lease', reason: z.prettifyError(parsed.error) });
  }
  const { holder, vm, duration_ms: durationMs } = parsed.data;
  return ok({ holder, vm, durationMs, revision });
}
