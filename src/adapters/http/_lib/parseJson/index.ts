import { Result } from 'neverthrow';
import type { CallerError } from '../../types';

/** Parses a JSON body; the error never quotes the body, which may hold confidential data. */
export const parseJson = Result.fromThrowable(
  (bytes: Uint8Array): unknown =>
    JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes)),
  (): CallerError => ({ kind: 'malformed-json', message: 'The body is not JSON in UTF-8.' }),
);
