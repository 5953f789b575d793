import type { ConfigurationChange, ConfigurationRow } from '../../../domain/configuration';
import type { ConfigurationStoreError } from './ConfigurationStoreError';

/** Why a configuration was not applied, or is not known to be. */
export type ApplyError =
  | ConfigurationStoreError
  /** Someone else applied first: nothing was written. */
  | {
      readonly kind: 'conflict';
      readonly expectedVersion: number;
      readonly newest: ConfigurationRow | null;
      /** What others changed since the expected version. */
      readonly changes: readonly ConfigurationChange[];
    }
  /** It holds more than the table takes for a row. */
  | { readonly kind: 'too-large'; readonly bytes: number; readonly limitBytes: number }
  /** The answers to the write and to all reads after it were lost: it may be in force. */
  | {
      readonly kind: 'unknown';
      readonly version: number;
      readonly applyId: string;
      readonly reason: string;
    };
