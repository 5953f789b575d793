/** Options of a body buffer. */
export interface BodyBufferOptions {
  /** Bytes that the body is expected to have; 0 if unknown. */
  readonly expectedBytes: number;
  /** Bytes that the body may have; no more are reserved. */
  readonly maxBytes: number;
  /** Counts bytes that will be held; false if there is no room for them. */
  readonly acquireBytes: (bytes: number) => boolean;
}

/** Holds the body of a request while it arrives. */
export interface BodyBuffer {
  /** Adds a part; false if there is no room for it. */
  addPart(part: Buffer): boolean;
  /** Returns the body as far as it has arrived. */
  read(): Buffer;
}

/** Smallest buffer of a body of unknown length. */
const MIN_CAPACITY_BYTES = 4096;

/**
 * Creates an empty body buffer.
 *
 * Parts are copied into one buffer, since each takes hundreds of bytes besides its own, and what is
 * counted is the size of that buffer. A body of one part is not copied.
 */
export const createBodyBuffer = ({
  acquireBytes,
  expectedBytes,
  maxBytes,
}: BodyBufferOptions): BodyBuffer => {
  let held: Buffer = Buffer.alloc(0);
  let bytes = 0;

  const acquireCapacity = (capacity: number): boolean => {
    // Expected bytes are counted by whoever expects them.
    const furtherBytes = capacity - Math.max(expectedBytes, held.length);
    return furtherBytes <= 0 || acquireBytes(furtherBytes);
  };

  /** Holds what has arrived in a buffer with room for this many bytes; false without memory. */
  const growTo = (total: number): boolean => {
    const grown = Math.max(MIN_CAPACITY_BYTES, expectedBytes, held.length * 2, total);
    const capacity = Math.max(total, Math.min(grown, maxBytes));
    if (!acquireCapacity(capacity)) return false;
    const next = Buffer.allocUnsafeSlow(capacity);
    held.copy(next, 0, 0, bytes);
    held = next;
    return true;
  };

  return {
    addPart: (part) => {
      const total = bytes + part.length;
      if (bytes === 0) {
        if (!acquireCapacity(total)) return false;
        held = part;
      } else {
        if (total > held.length && !growTo(total)) return false;
        part.copy(held, bytes);
      }
      bytes = total;
      return true;
    },
    read: () => held.subarray(0, bytes),
  };
};
