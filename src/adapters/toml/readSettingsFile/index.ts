import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { listSchemaProblems } from '../_lib/listSchemaProblems';
import { readTomlSource } from '../readTomlSource';
import type { ConfigurationProblem } from '../types';

/**
 * Reads the settings file of a process.
 *
 * @param file - path of the TOML file
 * @param schema - Zod schema of the whole file; `z.strictObject` makes unknown keys errors. Keys
 *   are in snake_case; a `transform` may convert them.
 * @returns the settings, or every problem with file, line, key and reason
 *
 * @example
 * const settings = await readSettingsFile('entry.toml', entrySettingsSchema);
 */
export async function readSettingsFile<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Promise<Result<z.output<Schema>, readonly ConfigurationProblem[]>> {
  const source = await readTomlSource(file);
  if (source.isErr()) {
    return err([source.error]);
  }
  const { table, origins } = source.value;
  const parsed = schema.safeParse(table);
  return parsed.success
    ? ok(parsed.data)
    : err(listSchemaProblems(parsed.error, table, origins, file));
}
