import type { Configuration } from '../../types';

/** Encodes a configuration as JSON for the table and for peers. */
export function encodeConfiguration(configuration: Configuration): string {
  return JSON.stringify(configuration);
}
