/** A complete server-sent event. */
export interface StreamEvent {
  /** Id of the event; null if it has none. */
  readonly id: number | null;
  /** Bytes of the event, including the blank line at its end. */
  readonly bytes: Buffer;
  /** True for comments and blank lines, several of which make one event. */
  readonly isEmpty: boolean;
}

/** The complete events, and the bytes of an incomplete one. */
export interface SplitEvents {
  readonly events: readonly StreamEvent[];
  readonly rest: Buffer;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const FIELD_PATTERN = /(?:^|\n)(?:data|event|id|retry)(?:: ?|\r?\n)/;
const ID_PATTERN = /(?:^|\r?\n)id: ?(\d+)\r?\n/;

/** Finds the position after the blank line of the first event; -1 if it is incomplete. */
const findEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return -1;
};

const decodeEvent = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('latin1');
  const id = ID_PATTERN.exec(text)?.[1];
  return { id: id === undefined ? null : Number(id), bytes, isEmpty: !FIELD_PATTERN.test(text) };
};

/**
 * Splits the bytes of a stream into complete events.
 *
 * A server that crashes may break off within an event; an event without its blank line is never
 * forwarded.
 */
export const splitEvents = (bytes: Buffer): SplitEvents => {
  const events: StreamEvent[] = [];
  let start = 0;
  /** Where the run of empty events before `start` begins. */
  let emptyStart = 0;
  const pushEmpty = (): void => {
    if (emptyStart < start)
      events.push({ id: null, bytes: bytes.subarray(emptyStart, start), isEmpty: true });
  };
  for (let end = findEnd(bytes, 0); end >= 0; end = findEnd(bytes, start)) {
    const event = decodeEvent(bytes.subarray(start, end));
    if (!event.isEmpty) {
      pushEmpty();
      events.push(event);
      emptyStart = end;
    }
    start = end;
  }
  pushEmpty();
  return { events, rest: bytes.subarray(start) };
};
