import { readFile } from 'node:fs/promises';
import { parse } from 'smol-toml';
import { z } from 'zod';

/** The list stays short: listed faults are fixed before any new work. */
const MAX_KNOWN_FAILURES = 8;

const KnownFailureSchema = z.strictObject({
  suite: z.enum(['unit', 'alone', 'scenario']),
  test: z.string().min(1),
  command: z.string().min(1),
  seed: z.union([z.string().min(1), z.number()]),
  seen: z.string().min(1),
  issue: z.number().int().positive(),
});

const FileSchema = z.strictObject({
  entry: z.array(KnownFailureSchema).max(MAX_KNOWN_FAILURES).default([]),
});

/** Test runner that runs the test. */
export type Suite = z.output<typeof KnownFailureSchema>['suite'];

/** A test that fails because of a known fault that is not fixed yet. */
export interface KnownFailure {
  readonly name: string;
  readonly suite: Suite;
  readonly line: string;
}

const isMissing = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && error.code === 'ENOENT';

const readText = async (file: string): Promise<string> => {
  try {
    return await readFile(file, 'utf8');
  } catch (error) {
    if (isMissing(error)) return '';
    throw error;
  }
};

/**
 * Reads `KNOWN-RED.txt`: TOML tables `[[entry]]` with `suite` (`unit`, `alone` or `scenario`), `test`,
 * `command`, `seed`, `seen` and `issue`. A missing file lists nothing.
 *
 * @throws Error if the file is malformed: a misread list could hide any failure
 */
export async function readKnownFailures(file: string): Promise<readonly KnownFailure[]> {
  const read = FileSchema.safeParse(parse(await readText(file)));
  if (!read.success) {
    const [problem] = read.error.issues;
    throw new Error(
      `${file}: ${problem?.path.join('.') ?? ''}: ${problem?.message ?? 'malformed'}`,
    );
  }
  return read.data.entry.map(({ command, issue, seed, seen, suite, test }) => ({
    name: test,
    suite,
    line: `${test} — ${seen} — ${command} (seed ${seed}) — issue ${issue}`,
  }));
}
