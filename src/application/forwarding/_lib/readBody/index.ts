import { err, ok, type Result } from 'neverthrow';

/** Maximum size of a buffered response. Responses to calls are far smaller. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** Maximum number of parts in which a body arrives: each takes processor time, however small it is. */
const MAX_BODY_PARTS = 65_536;

/** Memory that a part takes besides its bytes; parts may be a few bytes each. */
const PART_OVERHEAD_BYTES = 200;

/** Why a response body is incomplete. */
export interface IncompleteBody {
  readonly reason: string;
  /** What the body threw; null if this process stopped reading. */
  readonly error: unknown;
}

/**
 * Reads a response body to its end.
 *
 * @param acquireBytes - counts bytes that are held; false if there is no room for them
 */
export const readBody = async (
  body: AsyncIterable<Buffer>,
  acquireBytes: (bytes: number) => boolean,
): Promise<Result<Buffer, IncompleteBody>> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  const stop = (reason: string) => err({ reason, error: null });
  try {
    for await (const chunk of body) {
      bytes += chunk.length;
      if (bytes > MAX_BODY_BYTES) return stop(`the answer has more than ${MAX_BODY_BYTES} bytes`);
      if (!acquireBytes(chunk.length + PART_OVERHEAD_BYTES))
        return stop('this VM has no memory for the answer');
      if (chunks.length >= MAX_BODY_PARTS) return stop('the answer has too many parts');
      chunks.push(chunk);
    }
    return ok(Buffer.concat(chunks));
  } catch (error) {
    const reason =
      error instanceof Error
        ? error.message
        : 'the connection was lost before the end of the response';
    return err({ reason, error });
  }
};
