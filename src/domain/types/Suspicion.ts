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
  /**
   * True: confirmed by a reset or refused connection or by long enough silence; false: suspected
   * only.
   */
  readonly confirmed: boolean;
  /** VM that found the evidence first. */
  readonly vm: string;
  /** Increases with each suspicion and recovery of a server at one VM; the highest epoch wins. */
  readonly epoch: number;
}
