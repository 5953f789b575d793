import type { OwnerCandidate } from '../../../domain/limits';

/** A VM that may own a server's limit or room; its address is null for this VM. */
export interface LimitOwnerVm extends OwnerCandidate {
  readonly address: string | null;
}
