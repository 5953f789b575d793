import type { GenerationsContext } from '../../types';
import type { ExistingStream } from '../buildRun';

/** An engine sends kept tokens at once; a slower one is left to the silence limits. */
const READ_TIMEOUT_MS = 400;

const readTokens = async (
  context: GenerationsContext,
  { server, streamId }: ExistingStream,
  count: number,
  signal: AbortSignal,
): Promise<readonly number[] | null> => {
  const opened = await context.dependencies.engineClient.resumeStream(server, streamId, 0);
  if (opened.isErr()) return null;
  const stream = opened.value;
  signal.addEventListener('abort', () => stream.detach(), { once: true });
  const tokenIds: number[] = [];
  for await (const batch of stream.batches) {
    if (batch.isErr() || signal.aborted) break;
    tokenIds.push(...batch.value.tokenIds);
    if (tokenIds.length >= count) break;
  }
  stream.detach();
  return tokenIds;
};

/**
 * Reads the first tokens of an engine's stream for a VM that takes the stream over.
 *
 * @param context - Generations of this VM.
 * @param existingStream - Stream to read.
 * @param count - Number of tokens wanted.
 * @returns At least `count` tokens, fewer if the stream broke, or null on an error or a timeout.
 */
export const readEnginePrefix = async (
  context: GenerationsContext,
  existingStream: ExistingStream,
  count: number,
): Promise<readonly number[] | null> => {
  const abort = new AbortController();
  let stopTimer = (): void => undefined;
  const timeout = new Promise<null>((resolve) => {
    stopTimer = context.dependencies.clock.startTimer(READ_TIMEOUT_MS, () => resolve(null));
  });
  const tokens = await Promise.race([
    readTokens(context, existingStream, count, abort.signal),
    timeout,
  ]);
  stopTimer();
  abort.abort();
  return tokens;
};
