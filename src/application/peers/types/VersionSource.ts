/** The configuration as the exchange sees it. */
export interface VersionSource {
  /** Version in force at this VM, 0 if none. */
  readVersion(): number;
  /** Tells of a higher version that a peer has; the follower then reads it from the table. */
  recordPeerVersion(
    version: number,
    peer: { readonly vm: string; readonly peerAddress: string },
  ): void;
  /** Monotonic time at which this VM's newest successful read of the table began, or null. */
  readTableReadAtMs(): number | null;
}
