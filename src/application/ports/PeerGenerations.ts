import type { Result } from 'neverthrow';
import type { GenerationFeed } from './Generations';

/** Generations held by other VMs, reached over the Connect protocol. */
export interface PeerGenerations {
  /** Attaches to a generation at a VM; fails fast if the VM is dead or does not hold it. */
  attachGeneration(
    target: { readonly vm: string; readonly peerAddress: string },
    generation: {
      readonly generationId: string;
      readonly workspace: string;
      readonly offset: number;
    },
  ): Promise<Result<GenerationFeed, { readonly kind: 'unreachable' | 'not-held' }>>;
  cancelGeneration(
    target: { readonly vm: string; readonly peerAddress: string },
    generation: { readonly generationId: string; readonly workspace: string },
  ): Promise<boolean>;
  /** Finds the peer address of a VM heard of recently, or null. */
  findPeerAddress(vm: string): string | null;
}
