import { createHash } from 'node:crypto';
import type { Endpoint } from '../../types';
import { formatCanonicalJson } from '../_lib/formatCanonicalJson';

/** Fields that affect the delivery of an answer but not its content. */
const DELIVERY_FIELDS: readonly string[] = ['stream', 'stream_options'];

/**
 * Computes the digest that identifies repeats of the same request.
 *
 * A repeat may request the answer streamed or whole, so the digest ignores the delivery fields.
 *
 * @param source - workspace, endpoint and the parsed body
 * @returns SHA-256 in lower-case hex
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
