/** A key of a TOML document and the line that defines it, counted from 1. */
export interface KeyLine {
  readonly path: readonly string[];
  readonly line: number;
}

/** Parser state within a value that spans several lines. */
interface ValueState {
  /** Closing quotes of an open multi-line string; empty outside of one. */
  readonly openQuotes: string;
  /** Number of open brackets and braces. */
  readonly depth: number;
}

const NO_OPEN_VALUE: ValueState = { openQuotes: '', depth: 0 };
const SEGMENT = /"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+/g;
const DOTTED_KEY =
  /^(?:"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+)(?:\s*\.\s*(?:"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_-]+))*/;
// A token of a value: the opening of a multi-line string, a string, a comment, or a bracket.
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

/** Advances the state over the part of a value on one line. */
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
 * The TOML parser reports lines of syntax errors only, while an invalid value must be reported with
 * its line too. Keys inside inline tables and arrays are not listed; the outer key's line stands
 * for them.
 *
 * @param text - TOML source
 * @returns keys in source order; the index in an array of tables is a path segment
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
