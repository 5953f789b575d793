/** Parses JSON from outside; undefined if it is malformed, which no schema accepts. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
