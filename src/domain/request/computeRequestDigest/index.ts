import { createHash } from 'node:crypto';
import type { Endpoint } from '../../types';
import { formatCanonicalJson } from '../_lib/formatCanonicalJson';

/** Fields that change how an answer is delivered, not what is generated. */
const DELIVERY_FIELDS: readonly string[] = ['stream', 'stream_options'];

/**
 * Computes the digest that tells whether a repeat is the same request.
 *
 * A repeat may ask for the answer streamed or whole: these fields do not count.
 *
 * @param source - workspace, endpoint and the parsed body
 * @returns SHA-256 as lower-case hex
 */
export const computeRequestDigest = (source: {
  readonly workspace: string;
  readonly endpoint: Endpoint;
  readonly body: Readonly<Record<string, unknown>>;
}): string => {
  const members = Object.entries(source.body).filter(([key]) => !DELIVERY_FIELDS.includes(key));
  const text = formatCanonicalJson([
    source.workspace,
    source.endpoint,
    Object.fromEntries(members),
  ]);
  return createHash('sha256').update(text).digest('hex');
};
