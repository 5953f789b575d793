import type { SharedRow } from '../../../src/application/ports';

/** Builds a row of address, state and birth. Null text means removed; empty text is malformed. */
export const buildDirectoryRow = (key: string, text: string | null, version = 1): SharedRow => ({
  key,
  value: text === null ? null : Buffer.from(text),
  version,
});
