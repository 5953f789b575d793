import type { Result } from 'neverthrow';

/** A version as `encodeConfigurationRow` writes it. */
export interface EncodedConfiguration {
  readonly version: number;
  readonly body: string;
}

/** Configurations held by other VMs, for a VM that cannot read the table. */
export interface PeerConfigurations {
  /** Reads the peer's configuration; null if it holds none above `newerThan`. */
  readConfiguration(
    peerAddress: string,
    newerThan: number,
  ): Promise<
    Result<EncodedConfiguration | null, { readonly kind: 'unreachable'; readonly reason: string }>
  >;
}
