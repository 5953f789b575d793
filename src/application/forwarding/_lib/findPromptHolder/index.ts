import type { StreamRun } from '../../types';
import type { RespondingServer } from '../queryServers';

/** Part of a prompt that must be there for a server to go before less busy ones. */
const MIN_CACHED_FRACTION = 0.5;

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
  const lastPart = run.context.request.promptParts.at(-1);
  if (!lastPart) return null;
  const { client } = run.dependencies;
  const cached = await Promise.all(
    candidates.map(async (server) => ({
      status: server,
      tokens: (await client.readHeldParts(server.entry)).get(lastPart.id) ?? 0,
    })),
  );
  const best = cached.reduce(
    (most, candidate) => (candidate.tokens > most.tokens ? candidate : most),
    {
      status: null as RespondingServer | null,
      tokens: lastPart.tokens * MIN_CACHED_FRACTION,
    },
  );
  return best.status;
};
