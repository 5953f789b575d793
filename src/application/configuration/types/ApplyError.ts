import type { ConfigurationChange, ConfigurationRow } from '../../../domain/configuration';
import type { ConfigurationStoreError } from './ConfigurationStoreError';

/** Why a configuration was not applied, or why the outcome is unknown. */
export type ApplyError =
  | ConfigurationStoreError
  /** Another operator applied first; nothing was written. */
  | {
      readonly kind: 'conflict';
      readonly expectedVersion: number;
      readonly newest: ConfigurationRow | null;
      /** What others changed since the expected version. */
      readonly changes: readonly ConfigurationChange[];
    }
  /** The configuration exceeds the table's limit for a row. */
  | { readonly kind: 'too-large'; readonly bytes: number; readonly limitBytes: number }
  /** The responses to the write and to all reads after it were lost; it may be in force. */
  | {
      readonly kind: 'unknown';
      readonly version: number;
      readonly applyId: string;
      readonly reason: string;
    };
