/** How a request gets from this VM to a server: directly, or through one other VM. */
export type ServerPath =
  | { readonly kind: 'direct' }
  /** `address` is the VM's peer address, IP:PORT. */
  | { readonly kind: 'relay'; readonly vm: string; readonly address: string };

/** What a failure of a server on the path of a VM is due to; `unknown` if no VM can tell. */
export type FailureCause = 'path' | 'server' | 'unknown';

/** Another VM that may forward requests of this VM to servers. */
export interface RelayCandidate {
  readonly vm: string;
  /** IP:PORT of its peer address. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** A VM that reaches servers that this VM does not reach. */
export interface Relay {
  readonly vm: string;
  readonly address: string;
  /** Ids of the servers that it was asked about. */
  readonly askedIds: ReadonlySet<string>;
  /** Ids of those that it reaches. */
  readonly reachedIds: ReadonlySet<string>;
  /** Requests that it forwards now, relative to its processor share. */
  readonly load: number;
  /** True if it left a request unanswered and has not answered since. */
  readonly isDoubted: boolean;
}
