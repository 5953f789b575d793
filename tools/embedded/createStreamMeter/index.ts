import { createChainChecker, parseTokens, type ChainReport } from '../../../standins/chain';

/** Measures a caller's stream while it arrives. */
export interface StreamMeter {
  /** Takes a text in the order of arrival; gives the tokens that it completes. */
  recordText(text: string): void;
  /** Tokens received so far. */
  countTokens(): number;
  /** Attempts whose tokens were seen, by their nonces, in order. */
  listNonces(): readonly string[];
  /** When the first token of the newest attempt arrived, monotonic milliseconds. */
  readNonceChangedMs(): number;
  buildReport(expectedTokens: number): ChainReport;
}

/**
 * Creates a meter of one stream.
 *
 * A change of nonce shows where another attempt went on: its first token is the first that the dead
 * engine cannot have sent, so that tokens still under way at a kill do not flatter the figure.
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
