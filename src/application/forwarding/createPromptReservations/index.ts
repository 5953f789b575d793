import { chooseOwners } from '../../../domain/membership';

/** Another VM. */
export interface ReservationPeer {
  readonly vm: string;
  readonly address: string;
}

/** A prompt that is sent to a server. */
export interface SentPrompt {
  readonly server: string;
  readonly tokens: number;
}

/** Dependencies of the prompt reservations. */
export interface PromptReservationsDependencies {
  /** Name of this VM. */
  readonly self: string;
  readonly listPeers: () => readonly ReservationPeer[];
  readonly tellPeer: (address: string, prompt: SentPrompt) => void;
  /**
   * Reserves at the VM that owns the server; resolves with null if the VM does not respond in time.
   */
  readonly askPeer: (address: string, prompt: SentPrompt) => Promise<number | null>;
  /**
   * Counts the tokens of a server's prompts that this VM knows of and that are not yet processed.
   */
  readonly countPendingPrefillTokens: (server: string) => number;
  readonly recordPeerPrompt: (server: string, tokens: number) => void;
}

/** Makes prompts known to other VMs before any server report shows them. */
export interface PromptReservations {
  /** Tells all other VMs of a sent prompt; does nothing in a large fleet. */
  tellPrompt(server: string, tokens: number): void;
  /**
   * Reserves a server in a large fleet; resolves with the tokens of earlier prompts of other VMs,
   * else 0.
   */
  reservePrompt(server: string, tokens: number): Promise<number>;
  /**
   * Records another VM's reservation at a server that this VM owns; returns the tokens of earlier
   * prompts.
   */
  handleReservation(server: string, tokens: number): number;
}

/**
 * Largest fleet in which every prompt is broadcast, with some ten small calls that nobody waits
 * for. In larger fleets these calls would cost as much as the requests themselves.
 */
const MAX_BROADCAST_VMS = 12;

/**
 * Creates the prompt reservations of this VM.
 *
 * Prompts often arrive within some milliseconds of each other, and server reports are older than
 * that. Without reservations several VMs find the same engine idle, and one prompt waits for the
 * other. In a large fleet one VM owns the reservations of each server, chosen by rendezvous hashing
 * over the known VMs, which takes one call per prompt at any fleet size. If VMs disagree on the
 * owner, or the owner does not respond, prompts are merely sent without a reservation.
 */
export const createPromptReservations = ({
  askPeer,
  countPendingPrefillTokens,
  listPeers,
  recordPeerPrompt,
  self,
  tellPeer,
}: PromptReservationsDependencies): PromptReservations => {
  const handleReservation = (server: string, tokens: number): number => {
    const othersTokens = countPendingPrefillTokens(server);
    recordPeerPrompt(server, tokens);
    return othersTokens;
  };
  return {
    tellPrompt: (server, tokens) => {
      const peers = listPeers();
      if (peers.length >= MAX_BROADCAST_VMS) return;
      peers.forEach(({ address }) => tellPeer(address, { server, tokens }));
    },
    reservePrompt: async (server, tokens) => {
      const peers = listPeers();
      if (peers.length < MAX_BROADCAST_VMS) return 0;
      const vms = [self, ...peers.map(({ vm }) => vm)];
      const [ownerVm] = chooseOwners(vms, server, 1);
      // Prompts that this VM sends itself are counted in any case.
      if (ownerVm === self) return 0;
      const ownerPeer = peers.find(({ vm }) => vm === ownerVm);
      return ownerPeer ? ((await askPeer(ownerPeer.address, { server, tokens })) ?? 0) : 0;
    },
    handleReservation,
  };
};
