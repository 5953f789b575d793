import type { Result } from 'neverthrow';

/** A configuration version, encoded by `encodeConfigurationRow`. */
export interface EncodedConfiguration {
  readonly version: number;
  readonly body: string;
}

/** Configurations held by other VMs, for a VM that cannot read the table. */
export interface PeerConfigurations {
  /** Reads the peer's configuration; null if its version is not above `newerThan`. */
  readConfiguration(
    peerAddress: string,
    newerThan: number,
  ): Promise<
    Result<EncodedConfiguration | null, { readonly kind: 'unreachable'; readonly reason: string }>
  >;
}
