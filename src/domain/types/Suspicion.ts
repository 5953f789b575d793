/** Why a backend server is suspected. */
export const SuspicionCause = {
  Reset: 'reset',
  Refused: 'refused',
  Silence: 'silence',
  Failing: 'failing',
  Listed: 'listed',
} as const;

/** One of the causes of suspicion. */
export type SuspicionCause = (typeof SuspicionCause)[keyof typeof SuspicionCause];

/** Evidence that a backend server is dead or stuck, shared among the VMs. */
export interface Suspicion {
  readonly backendServer: string;
  readonly cause: SuspicionCause;
  /** True: confirmed (reset or refused, or enough silence); false: suspected only. */
  readonly confirmed: boolean;
  /** VM that saw it first. */
  readonly vm: string;
  /** Grows with each suspicion and each recovery of one server at one VM; the higher one wins. */
  readonly epoch: number;
}
