/** The bytes of a stream that are not part of a complete event yet. */
export interface EventBuffer {
  /** Adds bytes; returns all bytes held if a blank line ends an event in them, or else null. */
  addBytes(bytes: Buffer): Buffer | null;
  /** Keeps the bytes after the last complete event. */
  keepRest(rest: Buffer): void;
  readRest(): Buffer;
  countBytes(): number;
}

/** Bytes before a chunk that may belong to the same blank line. */
const BLANK_LINE_BYTES = 3;

const BLANK_LINES = ['\n\n', '\n\r\n'];

/**
 * Creates an empty buffer. Chunks are joined only when an event ends, so that one that arrives in
 * many small parts is not copied with each of them.
 */
export const createEventBuffer = (): EventBuffer => {
  let parts: Buffer[] = [];
  let byteCount = 0;
  let tail: Buffer = Buffer.alloc(0);

  const join = (): Buffer => (parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts));

  return {
    addBytes: (bytes) => {
      parts.push(bytes);
      byteCount += bytes.length;
      const seam = tail.length === 0 ? bytes : Buffer.concat([tail, bytes]);
      tail = seam.subarray(-BLANK_LINE_BYTES);
      return BLANK_LINES.some((line) => seam.includes(line)) ? join() : null;
    },
    keepRest: (rest) => {
      parts = rest.length === 0 ? [] : [rest];
      byteCount = rest.length;
      tail = rest.subarray(-BLANK_LINE_BYTES);
    },
    readRest: () => (parts.length === 0 ? Buffer.alloc(0) : join()),
    countBytes: () => byteCount,
  };
};
