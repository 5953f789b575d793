/** A response body whose chunks are pushed. */
export interface PushedBody {
  readChunks(): AsyncGenerator<Buffer>;
  push(chunk: Buffer): void;
  /** Ends the body, with an error if it breaks off. Chunks that were pushed before are read first. */
  finish(error: Error | null): void;
}

/** Creates an empty body. */
export const createPushedBody = (): PushedBody => {
  const chunks: Buffer[] = [];
  let end: { readonly error: Error | null } | null = null;
  let wake = (): void => undefined;
  const waitForChunk = (): Promise<void> =>
    new Promise((resolve) => {
      wake = resolve;
    });
  async function* readChunks(): AsyncGenerator<Buffer> {
    for (;;) {
      const chunk = chunks.shift();
      if (chunk) yield chunk;
      else if (end?.error) throw end.error;
      else if (end) return;
      else await waitForChunk();
    }
  }
  return {
    readChunks,
    push: (chunk) => {
      chunks.push(chunk);
      wake();
    },
    finish: (error) => {
      end ??= { error };
      wake();
    },
  };
};
