/** The configuration versions that the exchange reads and reports. */
export interface VersionSource {
  /** Version in force at this VM, 0 if none. */
  readVersion(): number;
  /** Records a peer's higher version, which the follower then reads from the table. */
  recordPeerVersion(
    version: number,
    peer: { readonly vm: string; readonly peerAddress: string },
  ): void;
  /** Monotonic time at which this VM's newest successful read of the table began, or null. */
  readTableReadAtMs(): number | null;
}
