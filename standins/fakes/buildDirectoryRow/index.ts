import type { SharedRow } from '../../../src/application/ports';

/** Builds a row of the fixture's form: address, state and birth; null is removed, empty unreadable. */
export const buildDirectoryRow = (key: string, text: string | null, version = 1): SharedRow => ({
  key,
  value: text === null ? null : Buffer.from(text),
  version,
});
