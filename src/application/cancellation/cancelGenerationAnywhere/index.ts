import type { PeerView } from '../../peers';
import type { Generations, PeerGenerations } from '../../ports';

/** What is asked to cancel. */
export interface CancellationDependencies {
  readonly generations: Pick<Generations, 'cancelGeneration'>;
  readonly peers: Pick<PeerGenerations, 'cancelGeneration'>;
  /** VMs of the deployment as this one knows them. */
  readonly listPeers: () => readonly PeerView[];
  /** Name of this VM. */
  readonly vm: string;
}

/** A generation as its caller names it. */
export interface CancelledGeneration {
  readonly workspace: string;
  readonly generationId: string;
}

/**
 * Cancels a generation at whichever entry runs it.
 *
 * The balancer sends a caller's DELETE to any entry, and a resumed generation may have moved, so
 * that all VMs heard lately are asked if this one does not run it.
 *
 * @returns true if one of them ran it
 */
export const cancelGenerationAnywhere = async (
  { generations, listPeers, peers, vm }: CancellationDependencies,
  generation: CancelledGeneration,
): Promise<boolean> => {
  const { generationId, workspace } = generation;
  if (await generations.cancelGeneration(workspace, generationId)) return true;
  const others = listPeers().filter((peer) => peer.vm !== vm && peer.heardAgeMs !== null);
  const found = await Promise.all(
    others.map((peer) => peers.cancelGeneration(peer, { generationId, workspace })),
  );
  return found.includes(true);
};
