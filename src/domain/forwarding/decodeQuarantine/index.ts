import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { Quarantine } from '../types';

const RowSchema = z.object({
  servers: z.array(z.string().min(1)).min(1),
  last_crash_unix_ms: z.number(),
});

const parseJson = (value: Buffer): unknown => {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    return undefined;
  }
};

/**
 * Decodes a row that `encodeQuarantine` wrote.
 *
 * @param fingerprint - the row's key
 * @returns the quarantine, its time as Unix milliseconds, or why the row can't be read
 */
export const decodeQuarantine = (
  fingerprint: string,
  value: Buffer,
): Result<Quarantine, string> => {
  const read = RowSchema.safeParse(parseJson(value));
  if (!read.success) return err(read.error.issues[0]?.message ?? 'malformed');
  const { last_crash_unix_ms: lastCrashAtMs, servers } = read.data;
  return ok({ fingerprint, servers, lastCrashAtMs });
};
