import type { OwnerCandidate } from '../../../domain/limits';

/** Another VM that may own limits. */
export interface LimitPeer extends OwnerCandidate {
  /** IP:PORT of the VM's peer address. */
  readonly address: string;
}
