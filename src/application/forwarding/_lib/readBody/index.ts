import { err, ok, type Result } from 'neverthrow';

/** Maximum size of a buffered response. Responses to calls are far smaller. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Reads a response body to its end; the error states why it is incomplete. */
export const readBody = async (body: AsyncIterable<Buffer>): Promise<Result<Buffer, string>> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return err(`the answer has more than ${MAX_BODY_BYTES} bytes`);
      chunks.push(chunk);
    }
    return ok(Buffer.concat(chunks));
  } catch (error) {
    return err(
      error instanceof Error
        ? error.message
        : 'the connection was lost before the end of the response',
    );
  }
};
