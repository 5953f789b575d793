import { rankLimitOwners, type PermitDecision } from '../../../../domain/limits';
import type { SkipList } from '../../../_lib/createSkipList';
import type { LimitOwnerVm } from '../../types';

/** Options of a question to the owners of a server. */
export interface OwnerQuorumOptions {
  readonly server: string;
  /** All VMs, this one included. */
  readonly vms: readonly LimitOwnerVm[];
  /** VMs that are not asked, as they did not respond lately. */
  readonly silentOwners: Pick<SkipList, 'has'>;
  /**
   * Asks one owner; resolves with null if it does not respond in time.
   *
   * @param options.isConfirmation - whether another owner has granted the request before
   */
  readonly askOwner: (
    owner: LimitOwnerVm,
    options: { readonly isConfirmation: boolean },
  ) => Promise<PermitDecision | null>;
  /** Takes back what these owners granted. */
  readonly releaseGrants: (owners: readonly LimitOwnerVm[]) => void;
}

/** What the owners decided; `too-few` if not enough of them responded. */
export type OwnerQuorumDecision =
  | { readonly kind: 'granted'; readonly owners: readonly LimitOwnerVm[] }
  | { readonly kind: 'refused'; readonly waitMs: number }
  | { readonly kind: 'too-few' };

/** Owners that must grant a request: VMs with different membership views share one at least. */
const OWNER_QUORUM = 2;

/**
 * Asks the owners of a server, one after the other, until enough of them grant a request or one
 * refuses it. Nothing stays granted unless the decision is `granted`.
 */
export const askOwnerQuorum = async ({
  askOwner,
  releaseGrants,
  server,
  silentOwners,
  vms,
}: OwnerQuorumOptions): Promise<OwnerQuorumDecision> => {
  const granted: LimitOwnerVm[] = [];
  const needed = Math.min(OWNER_QUORUM, vms.length);
  const reachable = vms.filter(({ vm }) => !silentOwners.has(vm));
  for (const owner of rankLimitOwners(reachable, server)) {
    const decision = await askOwner(owner, { isConfirmation: granted.length > 0 });
    if (decision && !decision.isGranted) {
      releaseGrants(granted);
      return { kind: 'refused', waitMs: decision.waitMs };
    }
    if (decision) granted.push(owner);
    if (granted.length >= needed) return { kind: 'granted', owners: granted };
  }
  releaseGrants(granted);
  return { kind: 'too-few' };
};
