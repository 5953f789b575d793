import { deflateRawSync } from 'node:zlib';
import { encodeConfiguration } from '../encodeConfiguration';
import type { ConfigurationRow } from '../types';

/**
 * Encodes the body of the row of a version, which peers also forward.
 *
 * The configuration is compressed, since its JSON at the largest planned size would exceed the
 * limit of 400 KB for a row of the table (see docs/decisions/010-configuration.md).
 */
export function encodeConfigurationRow(row: ConfigurationRow): string {
  const deflated = deflateRawSync(encodeConfiguration(row.configuration));
  return JSON.stringify({
    apply_id: row.applyId,
    applied_at_ms: row.appliedAtMs,
    applied_by: row.appliedBy,
    comment: row.comment,
    deflated_configuration: deflated.toString('base64'),
  });
}
