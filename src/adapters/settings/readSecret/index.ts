import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';

/** Why a secret could not be read; never holds the secret. */
export interface SecretError {
  readonly kind: 'unreadable-secret';
  readonly reason: string;
}

const buildError = (reason: string): SecretError => ({ kind: 'unreadable-secret', reason });

const readVariable = (name: string): Result<string, SecretError> => {
  const value = process.env[name];
  return value === undefined ? err(buildError(`no environment variable ${name}`)) : ok(value);
};

/** Read while a process starts, before it serves anything, so that blocking harms nobody. */
const readSecretFile = (path: string): Result<string, SecretError> => {
  try {
    return ok(readFileSync(path, 'utf8').trim());
  } catch (error) {
    return err(buildError(`cannot read ${path}: ${String((error as { code?: string }).code)}`));
  }
};

const READER_BY_PREFIX: readonly {
  readonly prefix: string;
  readonly read: (name: string) => Result<string, SecretError>;
}[] = [
  { prefix: 'env:', read: readVariable },
  { prefix: 'file:', read: readSecretFile },
];

/**
 * Reads a secret that a setting names.
 *
 * @param value - `env:NAME`, `file:PATH`, or the secret itself
 *
 * @example
 * readSecret('file:/run/jackdaw/cursor.key');
 */
export const readSecret = (value: string): Result<string, SecretError> => {
  const reader = READER_BY_PREFIX.find(({ prefix }) => value.startsWith(prefix));
  return reader === undefined ? ok(value) : reader.read(value.slice(reader.prefix.length));
};
