import { readFile } from 'node:fs/promises';
import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { listTomlKeyLines } from '../listTomlKeyLines';
import { ProblemKind, type ConfigurationProblem, type TomlSource } from '../types';

/** Formats a file error by its code; Node's message would repeat the path. */
function formatFileError(error: unknown): string {
  const { code } = error as NodeJS.ErrnoException;
  return code === 'ENOENT' ? 'does not exist' : `cannot be read (${code ?? String(error)})`;
}

/**
 * Builds the problem of a syntax error. Keeps only the first line of the parser's message, since
 * the others quote the source, which may contain secrets.
 */
function buildSyntaxProblem(file: string, error: unknown): ConfigurationProblem {
  const line = error instanceof TomlError ? error.line : 0;
  const message = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
  return { kind: ProblemKind.Syntax, file, line, key: '', reason: message };
}

async function readText(file: string): Promise<Result<string, ConfigurationProblem>> {
  try {
    return ok(await readFile(file, 'utf8'));
  } catch (error) {
    const reason = formatFileError(error);
    return err({ kind: ProblemKind.Unreadable, file, line: 0, key: '', reason });
  }
}

/**
 * Reads and parses one TOML file.
 *
 * @returns the table with the lines of its keys, or the problem that prevented it from being read
 */
export async function readTomlSource(
  file: string,
): Promise<Result<TomlSource, ConfigurationProblem>> {
  const text = await readText(file);
  return text.andThen((content) => {
    try {
      const origins = listTomlKeyLines(content).map((entry) => ({ ...entry, file }));
      return ok({ file, table: parse(content), origins });
    } catch (error) {
      return err(buildSyntaxProblem(file, error));
    }
  });
}
