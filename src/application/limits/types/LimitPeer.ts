import type { OwnerCandidate } from '../../../domain/limits';

/** Another VM that may keep limits. */
export interface LimitPeer extends OwnerCandidate {
  /** IP:PORT of its peer address. */
  readonly address: string;
}
