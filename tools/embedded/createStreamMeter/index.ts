import { createChainChecker, parseTokens, type ChainReport } from '../../../standins/chain';

/** Measures a caller's stream while it arrives. */
export interface StreamMeter {
  /** Records the next text of the stream. */
  recordText(text: string): void;
  /** Returns the number of tokens received so far. */
  countTokens(): number;
  /** Lists the nonces of the attempts whose tokens were received, in order. */
  listNonces(): readonly string[];
  /** Returns when the first token of the latest attempt arrived, in monotonic milliseconds. */
  readNonceChangedMs(): number;
  buildReport(expectedTokens: number): ChainReport;
}

/**
 * Creates a meter of one stream.
 *
 * A change of nonce shows where another attempt resumed the stream. Its first token is the first
 * one that the killed engine cannot have sent: tokens in flight at the kill don't count.
 *
 * @param promptText - model as the engine knows it, a newline, and the prompt of `renderPrompt`
 * @param readMs - monotonic time in milliseconds
 */
export function createStreamMeter(promptText: string, readMs: () => number): StreamMeter {
  const checker = createChainChecker(promptText);
  const nonces: string[] = [];
  let nonceChangedMs = 0;
  let tokens = 0;
  return {
    recordText: (text) => {
      parseTokens(text).forEach((token) => {
        checker.recordToken(token);
        tokens += 1;
        if (token === null || token.nonce === nonces.at(-1)) return;
        nonces.push(token.nonce);
        nonceChangedMs = readMs();
      });
    },
    countTokens: () => tokens,
    listNonces: () => nonces,
    readNonceChangedMs: () => nonceChangedMs,
    buildReport: checker.buildReport,
  };
}
