import { SLOPE_KEY } from '../renderSlopeFolder';

const MAX_TOKENS = 100_000;

/** Runs one long generation and discards its tokens. */
const followStream = async (url: string, index: number, signal: AbortSignal): Promise<void> => {
  const response = await fetch(`${url}/v1/completions`, {
    method: 'POST',
    headers: { Authorization: `Bearer ${SLOPE_KEY}`, 'Content-Type': 'application/json' },
    body: JSON.stringify({
      model: 'review',
      prompt: `dossier ${index}`,
      stream: true,
      max_tokens: MAX_TOKENS,
    }),
    signal,
  });
  if (!response.ok || response.body === null) {
    throw new Error(`stream ${index}: ${response.status} ${await response.text()}`);
  }
  const reader = response.body.getReader();
  let done = false;
  while (!done) ({ done } = await reader.read());
};

/** Starts streams through an entry; the returned function ends them. */
export function startStreams(url: string, count: number): () => Promise<void> {
  const abort = new AbortController();
  const running = Array.from({ length: count }, (_value, index) =>
    followStream(url, index, abort.signal).catch((error: unknown) => {
      // Only the abort at the end of the point is expected; other errors invalidate its figures.
      if (!abort.signal.aborted) throw error;
    }),
  );
  return async () => {
    abort.abort();
    await Promise.all(running);
  };
}
