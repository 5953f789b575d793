import { deflateRawSync } from 'node:zlib';
import { encodeConfiguration } from '../encodeConfiguration';
import type { ConfigurationRow } from '../types';

/**
 * Encodes the body of a version's row, which peers also pass on.
 *
 * The configuration is deflated: at the largest planned size its JSON would pass the 400 KB that
 * the table takes for a row (see docs/decisions/010-configuration.md).
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
