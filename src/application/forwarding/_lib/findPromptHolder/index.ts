import type { StreamRun } from '../../types';
import type { RespondingServer } from '../queryServers';

/** Fraction of the prompt that must be cached for a server to be preferred to less busy ones. */
const MIN_CACHED_FRACTION = 0.5;

/**
 * Finds the server that has the prompt of a resumed stream in its cache. The caller resumes the
 * stream through this VM after it lost the connection to another VM.
 *
 * Without this lookup, every resumed stream costs the prefill of a whole prompt at another server.
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
      tokens: (await client.readCachedPromptParts(server.entry)).get(lastPart.id) ?? 0,
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
