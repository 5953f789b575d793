import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { MAX_QUARANTINE_SERVERS, WHOLE_RUN_MS, type Quarantine } from '../types';

/** Servers are logged by name. */
const MAX_SERVER_CHARACTERS = 300;

const RowSchema = z.object({
  certain: z.boolean().default(true),
  ran_ms: z.number().min(0).lt(WHOLE_RUN_MS).default(0),
  servers: z.array(z.string().min(1).max(MAX_SERVER_CHARACTERS)).min(1).max(MAX_QUARANTINE_SERVERS),
  last_crash_unix_ms: z.number(),
  trial_store_ms: z.number().optional(),
  trial_servers: z.number().int().min(0).optional(),
});

const parseJson = (value: Buffer): unknown => {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    return undefined;
  }
};

/**
 * Decodes a row that was encoded by `encodeQuarantine`.
 *
 * @param fingerprint - key of the row
 * @returns the quarantine with its time in Unix milliseconds, or why the row is malformed
 */
export const decodeQuarantine = (
  fingerprint: string,
  value: Buffer,
): Result<Quarantine, string> => {
  const parsed = RowSchema.safeParse(parseJson(value));
  if (!parsed.success) return err(parsed.error.issues[0]?.message ?? 'malformed');
  const { certain: isCertain, servers } = parsed.data;
  const { trial_servers: trialServers, trial_store_ms: trialStoreMs } = parsed.data;
  const { last_crash_unix_ms: lastCrashAtMs, ran_ms: ranMs } = parsed.data;
  return ok({
    fingerprint,
    servers,
    lastCrashAtMs,
    isCertain,
    ranMs,
    ...(trialStoreMs === undefined ? {} : { trialStoreMs }),
    ...(trialServers === undefined ? {} : { trialServers }),
  });
};
