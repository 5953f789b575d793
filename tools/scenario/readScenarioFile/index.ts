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
 * Reads a scenario from its text.
 *
 * @param file - path, for messages and the name
 * @returns the scenario, or every fault of the file in one text
 */
export function parseScenario(file: string, text: string): Result<ScenarioFile, string> {
  let table: unknown;
  try {
    table = parse(text);
  } catch (error) {
    return err(`${file}: ${error instanceof Error ? error.message : 'no TOML'}`);
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

/** Reads a scenario file. */
export async function readScenarioFile(file: string): Promise<Result<ScenarioFile, string>> {
  try {
    return parseScenario(file, await readFile(file, 'utf8'));
  } catch {
    return err(`${file}: cannot be read`);
  }
}
