import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';

/** Error of a secret that could not be read; never contains the secret. */
export interface SecretError {
  readonly kind: 'unreadable-secret';
  readonly reason: string;
}

const buildError = (reason: string): SecretError => ({ kind: 'unreadable-secret', reason });

const readVariable = (name: string): Result<string, SecretError> => {
  const value = process.env[name];
  return value === undefined
    ? err(buildError(`environment variable ${name} is not set`))
    : ok(value);
};

/** Reads a secret synchronously: a process reads secrets only before it begins to serve. */
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
 * Reads the secret that a setting refers to.
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
