/** A VM as listed by the platform or reported by a peer. */
export interface VmRecord {
  readonly vm: string;
  /** Address of the peer interface, `ip:port`. */
  readonly peerAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
}
