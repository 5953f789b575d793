/** A whole event of a stream. */
export interface StreamEvent {
  /** Null if it names none. */
  readonly id: number | null;
  /** With its closing blank line. */
  readonly bytes: Buffer;
}

/** Events that are whole by now, and the bytes of the next one. */
export interface SplitEvents {
  readonly events: readonly StreamEvent[];
  readonly rest: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /(?:^|\r?\n)id: ?(\d+)\r?\n/;

/** Finds the end of the first event, just past its blank line; -1 while there is none. */
const findEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
};

const decodeEvent = (bytes: Buffer): StreamEvent => {
  const id = ID_PATTERN.exec(bytes.toString('latin1'))?.[1];
  return { id: id === undefined ? null : Number(id), bytes };
};

/**
 * Splits the bytes of a stream into whole events.
 *
 * A server that dies may break off within an event: what has no blank line after it is never
 * handed on.
 */
export const splitEvents = (bytes: Buffer): SplitEvents => {
  const events: StreamEvent[] = [];
  let start = 0;
  for (let end = findEnd(bytes, 0); end >= 0; end = findEnd(bytes, start)) {
    events.push(decodeEvent(bytes.subarray(start, end)));
    start = end;
  }
  return { events, rest: bytes.subarray(start) };
};
