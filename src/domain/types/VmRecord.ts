/** A VM as the platform's list, or a peer, tells of it. */
export interface VmRecord {
  readonly vm: string;
  /** Address of its peer interface, `ip:port`. */
  readonly peerAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
}
