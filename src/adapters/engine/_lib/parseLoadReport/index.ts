import { z } from 'zod';
import type { LoadReport } from '../../../../domain/types';

const MAX_UINT32 = 2 ** 32 - 1;

/** Values go into fields of 32 bits, some of them as thousandths, or grow there with time. */
const MAX_AMOUNT = MAX_UINT32 / 1000;

const amountSchema = z.number().min(0).max(MAX_AMOUNT);

const countSchema = z.int().min(0).max(MAX_UINT32);

const loadBody = z.object({
  sequence: countSchema,
  running: countSchema,
  waiting: countSchema,
  slots: countSchema,
  cache_use: amountSchema,
  tokens_per_second: amountSchema,
  models: z.array(
    z.object({
      model: z.string(),
      version: z.string().default(''),
      adapter: z.string().default(''),
    }),
  ),
  role: z.string().default(''),
  leaving: z.boolean().default(false),
  fencing_token: z.int().min(0).default(0),
  age_ms: z.number().max(MAX_AMOUNT).default(0),
});

/**
 * Parses an engine's answer to `GET /load`.
 *
 * @param body - Parsed JSON.
 * @param backendServer - Server that answered.
 * @param receivedAtMs - Monotonic time of the answer, in milliseconds.
 * @returns The report, or null if the body is malformed.
 */
export const parseLoadReport = (
  body: unknown,
  backendServer: string,
  receivedAtMs: number,
): LoadReport | null => {
  const parsed = loadBody.safeParse(body);
  if (!parsed.success) return null;
  const { data } = parsed;
  return {
    backendServer,
    sequence: data.sequence,
    running: data.running,
    waiting: data.waiting,
    slots: data.slots,
    cacheUse: data.cache_use,
    tokensPerSecond: data.tokens_per_second,
    models: data.models,
    role: data.role,
    leaving: data.leaving,
    fencingToken: data.fencing_token,
    ageMs: data.age_ms,
    receivedAtMs,
  };
};
