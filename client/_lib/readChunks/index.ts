/**
 * Reads a body chunk by chunk and throws if no chunk arrives within the idle timeout.
 *
 * A paused entry keeps its connection open and sends nothing. Without a timeout the caller would
 * wait indefinitely, although another entry could continue.
 *
 * @param idleTimeoutMs - Maximum wait for one chunk, in milliseconds.
 */
export async function* readChunks(
  body: ReadableStream<Uint8Array>,
  idleTimeoutMs: number,
): AsyncGenerator<Uint8Array, void, undefined> {
  const reader = body.getReader();
  try {
    for (;;) {
      let timer: ReturnType<typeof setTimeout> | undefined;
      const idleTimeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(
          () => reject(new Error('no data arrived within the idle timeout')),
          idleTimeoutMs,
        );
      });
      const read = await Promise.race([reader.read(), idleTimeout]).finally(() =>
        clearTimeout(timer),
      );
      if (read.done) return;
      yield read.value;
    }
  } finally {
    reader.cancel().catch(() => undefined);
  }
}
