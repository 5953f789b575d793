/** A key of a TOML document and the line that defines it, counted from 1. */
export interface KeyLine {
  readonly path: readonly string[];
  readonly line: number;
}

/** How far a value that spans lines has come. */
interface ValueState {
  /** Closing quotes of an open multi-line string, or empty. */
  readonly openQuotes: string;
  /** Brackets and braces still open. */
  readonly depth: number;
}

const NO_OPEN_VALUE: ValueState = { openQuotes: '', depth: 0 };
const SEGMENT = /"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+/g;
const DOTTED_KEY =
  /^(?:"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+)(?:\s*\.\s*(?:"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+))*/;
// One step of a value: a whole string, an opening of a multi-line string, a comment, or a character.
const VALUE_STEP = /"""|'''|"(?:[^"\\]|\\.)*"|'[^']*'|#.*|[[\]{}]/g;
const DEPTH_CHANGES = new Map([
  ['[', 1],
  ['{', 1],
  [']', -1],
  ['}', -1],
]);

function parseSegment(segment: string): string {
  const isQuoted = segment.startsWith('"') || segment.startsWith("'");
  return isQuoted ? segment.slice(1, -1) : segment;
}

function parseDottedKey(text: string): readonly string[] {
  const key = DOTTED_KEY.exec(text)?.[0] ?? '';
  return (key.match(SEGMENT) ?? []).map(parseSegment);
}

/** Moves over the part of a value that stands on one line. */
function updateValueState(state: ValueState, text: string): ValueState {
  if (state.openQuotes !== '') {
    const end = text.indexOf(state.openQuotes);
    if (end < 0) {
      return state;
    }
    return updateValueState({ ...state, openQuotes: '' }, text.slice(end + 3));
  }
  let { depth } = state;
  for (const step of text.matchAll(VALUE_STEP)) {
    const [token] = step;
    if (token === '"""' || token === "'''") {
      return updateValueState({ openQuotes: token, depth }, text.slice(step.index + 3));
    }
    depth += DEPTH_CHANGES.get(token) ?? 0;
  }
  return { openQuotes: '', depth };
}

/**
 * Lists the keys and table headers of a valid TOML document with their lines.
 *
 * The parser gives lines for syntax errors only, but an error in a value must name its line too.
 * Keys inside inline tables and arrays are not listed: their line is that of the outer key.
 *
 * @param text - TOML source
 * @returns keys in the order of the source; an index of an array of tables is a path segment
 */
export function listTomlKeyLines(text: string): readonly KeyLine[] {
  const found: KeyLine[] = [];
  const arrayLengths = new Map<string, number>();
  let table: readonly string[] = [];
  let state = NO_OPEN_VALUE;
  text.split('\n').forEach((rawLine, index) => {
    const line = rawLine.trim();
    if (state.openQuotes !== '' || state.depth > 0) {
      state = updateValueState(state, line);
      return;
    }
    if (line === '' || line.startsWith('#')) {
      return;
    }
    if (line.startsWith('[[')) {
      const path = parseDottedKey(line.slice(2).trim());
      const position = arrayLengths.get(path.join('.')) ?? 0;
      arrayLengths.set(path.join('.'), position + 1);
      table = [...path, String(position)];
      found.push({ path: table, line: index + 1 });
      return;
    }
    if (line.startsWith('[')) {
      table = parseDottedKey(line.slice(1).trim());
      found.push({ path: table, line: index + 1 });
      return;
    }
    found.push({ path: [...table, ...parseDottedKey(line)], line: index + 1 });
    state = updateValueState(NO_OPEN_VALUE, line.slice(line.indexOf('=') + 1));
  });
  return found;
}
