import type { StreamRun } from '../../types';
import type { RespondingServer } from '../queryServers';

/** Part of a prompt that must be there for a server to go before less busy ones. */
const MIN_HELD_PART = 0.5;

/**
 * Finds the server that still has the prompt of a stream in memory, which a caller resumes through
 * this VM after the connection to another one was lost.
 *
 * Without it each caller that comes back costs a whole prompt, read again by another server.
 */
export const findPromptHolder = async (
  run: StreamRun,
  candidates: readonly RespondingServer[],
): Promise<RespondingServer | null> => {
  const last = run.context.request.promptParts.at(-1);
  if (!last) return null;
  const { client } = run.dependencies;
  const held = await Promise.all(
    candidates.map(async (status) => ({
      status,
      tokens: (await client.readCachedPromptParts(status.entry)).get(last.id) ?? 0,
    })),
  );
  const best = held.reduce((most, one) => (one.tokens > most.tokens ? one : most), {
    status: null as RespondingServer | null,
    tokens: last.tokens * MIN_HELD_PART,
  });
  return best.status;
};
