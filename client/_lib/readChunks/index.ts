/**
 * Reads a body chunk by chunk and gives up on silence.
 *
 * A paused entry keeps its connection open and sends nothing: without a limit the caller would
 * wait for ever, although another entry could go on.
 *
 * @param idleTimeoutMs - Longest wait for one chunk, in milliseconds.
 */
export async function* readChunks(
  body: ReadableStream<Uint8Array>,
  idleTimeoutMs: number,
): AsyncGenerator<Uint8Array, void, undefined> {
  const reader = body.getReader();
  try {
    for (;;) {
      let timer: ReturnType<typeof setTimeout> | undefined;
      const silence = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => reject(new Error('the stream fell silent')), idleTimeoutMs);
      });
      const read = await Promise.race([reader.read(), silence]).finally(() => clearTimeout(timer));
      if (read.done) return;
      yield read.value;
    }
  } finally {
    reader.cancel().catch(() => undefined);
  }
}
