import { readdir } from 'node:fs/promises';
import { join } from 'node:path';
import { err, ok, Result } from 'neverthrow';
import { checkConfiguration, type ConfigurationFault } from '../../../domain/configuration';
import type { Configuration } from '../../../domain/types';
import { buildConfiguration } from '../_lib/buildConfiguration';
import { configurationSchema, type ConfigurationDocument } from '../_lib/configurationSchema';
import { listSchemaProblems, buildProblem } from '../_lib/listSchemaProblems';
import { mergeTomlSources, type MergedToml } from '../mergeTomlSources';
import { readTomlSource } from '../readTomlSource';
import { ProblemKind, type ConfigurationProblem, type TomlSource } from '../types';

type Problems = readonly ConfigurationProblem[];

function buildFolderProblem(file: string, reason: string): ConfigurationProblem {
  return { kind: ProblemKind.Unreadable, file, line: 0, key: '', reason };
}

async function listTomlFiles(folder: string): Promise<Result<readonly string[], Problems>> {
  try {
    const names = await readdir(folder);
    // Hidden files are skipped, since editors leave hidden copies of open files.
    const files = names.filter((name) => name.endsWith('.toml') && !name.startsWith('.')).sort();
    return files.length > 0
      ? ok(files.map((name) => join(folder, name)))
      : err([buildFolderProblem(folder, 'holds no .toml file')]);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return err([buildFolderProblem(folder, `cannot be read as a folder (${code ?? 'unknown'})`)]);
  }
}

/**
 * Converts the path of an engine target's fault, which names a backend server, to the named group
 * in which the operator listed the server.
 */
function convertFault(
  fault: ConfigurationFault,
  document: ConfigurationDocument,
): ConfigurationFault {
  const [section, server = ''] = fault.path;
  if (section !== 'engine_targets') {
    return fault;
  }
  const group = Object.entries(document.engine_targets).findLast(([, target]) =>
    target.backend_servers.includes(server),
  );
  return { ...fault, path: ['engine_targets', group?.[0] ?? '', 'backend_servers'] };
}

function validateMerged(merged: MergedToml, folder: string): Result<Configuration, Problems> {
  const parsed = configurationSchema.safeParse(merged.table);
  if (!parsed.success) {
    const problems = listSchemaProblems(parsed.error, merged.table, merged.origins, folder);
    return err([...merged.problems, ...problems]);
  }
  const configuration = buildConfiguration(parsed.data);
  const faults = checkConfiguration(configuration);
  const problems = [
    ...merged.problems,
    ...faults.map((fault) =>
      buildProblem(convertFault(fault, parsed.data), merged.origins, folder),
    ),
  ];
  return problems.length === 0 ? ok(configuration) : err(problems);
}

/**
 * Reads a configuration folder: all of its `.toml` files, merged in the order of their names.
 *
 * @param folder - path of the folder
 * @returns the valid configuration, or every problem found, each with file, line, key and reason
 */
export async function readConfigurationFolder(
  folder: string,
): Promise<Result<Configuration, Problems>> {
  const files = await listTomlFiles(folder);
  if (files.isErr()) {
    return err(files.error);
  }
  const sources = await Promise.all(files.value.map(readTomlSource));
  const parsed: Result<TomlSource[], ConfigurationProblem[]> = Result.combineWithAllErrors(sources);
  return parsed
    .mapErr((problems): Problems => problems)
    .andThen((readable) => validateMerged(mergeTomlSources(readable), folder));
}
