import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { parseCondition } from '../parseCondition';
import { scenarioSchema, type ScenarioFile } from '../types';

const HEADINGS = ['symptom:', 'sequence:', 'cause:', 'without:'] as const;

const listHeadingFaults = (text: string): string[] => {
  const heading = text
    .split('\n')
    .filter((line) => line.startsWith('#'))
    .join('\n')
    .toLowerCase();
  return HEADINGS.filter((word) => !heading.includes(`# ${word}`)).map(
    (word) => `the heading has no line "# ${word}"`,
  );
};

/**
 * Parses a scenario file.
 *
 * @param file - path; used in error messages, and its base name names the scenario
 * @returns the scenario, or one message that lists every error of the file
 */
export function parseScenario(file: string, text: string): Result<ScenarioFile, string> {
  let table: unknown;
  try {
    table = parse(text);
  } catch (error) {
    return err(`${file}: ${error instanceof Error ? error.message : 'not valid TOML'}`);
  }
  const parsed = scenarioSchema.safeParse(table);
  const problems = parsed.success
    ? parsed.data.step.flatMap((step) => {
        const condition = step.when === '' ? ok(null) : parseCondition(step.when);
        return condition.isErr() ? [condition.error] : [];
      })
    : parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  const faults = [...listHeadingFaults(text), ...problems];
  if (!parsed.success || faults.length > 0) return err(`${file}: ${faults.join('; ')}`);
  return ok({ name: basename(file, '.scenario.toml'), scenario: parsed.data });
}

/** Reads and parses a scenario file. */
export async function readScenarioFile(file: string): Promise<Result<ScenarioFile, string>> {
  try {
    return parseScenario(file, await readFile(file, 'utf8'));
  } catch {
    return err(`${file}: cannot be read`);
  }
}
