import type { Result } from 'neverthrow';
import type { StoreError } from './StoreError';

/** The platform's object store. */
export interface ObjectStore {
  /** Reads an object, or null if there is none. */
  readObject(key: string): Promise<Result<Uint8Array | null, StoreError>>;
  /** Writes an object; with `onlyIfAbsent` an existing one gives `condition-failed`. */
  writeObject(
    key: string,
    content: Uint8Array,
    options: { readonly onlyIfAbsent: boolean },
  ): Promise<Result<void, StoreError>>;
}
