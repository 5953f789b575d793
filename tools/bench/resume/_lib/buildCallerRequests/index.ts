import type { Randomness } from '../../../../../src/application/ports';
import type { CallerRequest } from '../../types';
import { BENCH_MODEL, BENCH_SERVICE } from '../buildBenchConfiguration';

const MIN_TOKENS = 120;
const TOKENS_RANGE = 80;
const PROMPT_BYTES = 600;

/** Moves the first `count` values to the end. */
function rotate<T>(values: readonly T[], count: number): readonly T[] {
  const start = values.length === 0 ? 0 : count % values.length;
  return [...values.slice(start), ...values.slice(0, start)];
}

/**
 * Builds the requests of one round: each has its own prompt, asks for 120 to 200 tokens, and starts
 * at another URL, in turn.
 *
 * @param urls - base URLs of all entries or engines
 */
export function buildCallerRequests(
  count: number,
  urls: readonly string[],
  randomness: Randomness,
): readonly CallerRequest[] {
  return Array.from({ length: count }, (_, index) => {
    const tokens = MIN_TOKENS + Math.floor(randomness.readFraction() * TOKENS_RANGE);
    const content = randomness.readHex(PROMPT_BYTES);
    const body = {
      model: BENCH_SERVICE,
      max_tokens: tokens,
      messages: [{ role: 'user', content }],
    };
    return { body, model: BENCH_MODEL, tokens, urls: rotate(urls, index) };
  });
}
