import { inflateRawSync } from 'node:zlib';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { parseJson } from '../../json';
import { decodeConfiguration, type ConfigurationDecodeError } from '../decodeConfiguration';
import type { ConfigurationRow } from '../types';

/** Limit on the decompressed size, so that a corrupt row cannot exhaust the memory of the VMs. */
const MAX_INFLATED_BYTES = 16 * 1024 * 1024;

const schema = z.object({
  apply_id: z.string(),
  applied_at_ms: z.number(),
  applied_by: z.string(),
  comment: z.string(),
  deflated_configuration: z.string(),
});

function inflateText(text: string): string | null {
  try {
    const deflated = Buffer.from(text, 'base64');
    return inflateRawSync(deflated, { maxOutputLength: MAX_INFLATED_BYTES }).toString('utf8');
  } catch {
    return null;
  }
}

/**
 * Decodes the body of the row of a version.
 *
 * @param version - from the sort key of the row or from the response of the peer
 */
export function decodeConfigurationRow(
  version: number,
  body: string,
): Result<ConfigurationRow, ConfigurationDecodeError> {
  const parsed = schema.safeParse(parseJson(body));
  const json = parsed.success ? inflateText(parsed.data.deflated_configuration) : null;
  if (!parsed.success || json === null) {
    return err({ kind: 'bad-configuration', reason: `row of version ${version} is malformed` });
  }
  const { data } = parsed;
  return decodeConfiguration(json).andThen((configuration) =>
    ok({
      version,
      configuration,
      applyId: data.apply_id,
      appliedAtMs: data.applied_at_ms,
      appliedBy: data.applied_by,
      comment: data.comment,
    }),
  );
}
