import { readFile } from 'node:fs/promises';

const MAX_KNOWN_RED = 3;
const LINE = /^(?<name>.+?) — (?<cause>.+) — issue (?<issue>\d+)$/u;

/** A test that fails for a real fault which is not mended yet. */
export interface KnownRed {
  readonly name: string;
  readonly line: string;
}

/**
 * Reads `KNOWN-RED.txt`: one line each, `name — cause — issue N`, three at most.
 *
 * @throws Error when the file is malformed: a list that is misread could hide any failure.
 */
export async function readKnownRed(file: string): Promise<readonly KnownRed[]> {
  const text = await readFile(file, 'utf8').catch(() => '');
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > MAX_KNOWN_RED) throw new Error(`${file}: more than ${MAX_KNOWN_RED} lines`);
  return lines.map((line) => {
    const name = LINE.exec(line)?.groups?.name;
    if (name === undefined) throw new Error(`${file}: not "name — cause — issue N": ${line}`);
    return { name, line };
  });
}
