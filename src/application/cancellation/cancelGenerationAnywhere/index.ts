import type { PeerView } from '../../peers';
import type { Generations, PeerGenerations } from '../../ports';

/** Dependencies of a cancellation. */
export interface CancellationDependencies {
  readonly generations: Pick<Generations, 'cancelGeneration'>;
  readonly peers: Pick<PeerGenerations, 'cancelGeneration'>;
  /** VMs of the deployment that this VM knows. */
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
 * Cancels a generation on whichever entry VM runs it.
 *
 * The load balancer routes a caller's DELETE to any entry VM, and a resumed generation may have
 * moved. If this VM does not run the generation, it therefore asks every VM that it has heard from.
 *
 * @returns true if one of the VMs ran the generation
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
