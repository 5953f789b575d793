import type { KeeperCandidate } from '../../../domain/limits';

/** Another VM that may keep limits. */
export interface LimitPeer extends KeeperCandidate {
  /** IP:PORT of its peer address. */
  readonly address: string;
}
