import { z } from 'zod';
import type { CacheEvent } from '../../../../domain/types';

const cacheBody = z.object({
  events: z.array(
    z.object({
      sequence: z.number(),
      kind: z.enum(['stored', 'removed', 'cleared']),
      prefixes: z.array(z.string()).default([]),
    }),
  ),
});

/**
 * Parses an engine's answer to `GET /cache-events`.
 *
 * @param body - Parsed JSON.
 * @returns The events, or null if the body is malformed.
 */
export const parseCacheEvents = (body: unknown): readonly CacheEvent[] | null => {
  const parsed = cacheBody.safeParse(body);
  return parsed.success ? parsed.data.events : null;
};
