/** Failure to read configurations from the table. */
export type ConfigurationStoreError =
  /** The table did not answer. */
  | { readonly kind: 'unavailable'; readonly reason: string }
  /** The row is malformed. */
  | { readonly kind: 'bad-configuration'; readonly reason: string };
