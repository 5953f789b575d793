/** Parses untrusted JSON. Returns undefined, which no schema accepts, if the text is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
