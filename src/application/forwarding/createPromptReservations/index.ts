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

/** What agreeing on places needs. */
export interface PromptReservationsDependencies {
  /** Name of this VM. */
  readonly self: string;
  readonly listPeers: () => readonly ReservationPeer[];
  readonly tellPeer: (address: string, prompt: SentPrompt) => void;
  /** Takes a place at the VM that keeps the server's; null if it does not answer in time. */
  readonly askPeer: (address: string, prompt: SentPrompt) => Promise<number | null>;
  /** What is known here of a server's unread prompts, and takes note of another one. */
  readonly countPendingPrefillTokens: (server: string) => number;
  readonly recordPeerPrompt: (server: string, tokens: number) => void;
}

/** Lets VMs know of each other's prompts before any report shows them. */
export interface PromptReservations {
  /** Tells all other VMs of a prompt that was sent; in a large fleet nobody. */
  tellPrompt(server: string, tokens: number): void;
  /** Takes a place in a large fleet; returns the tokens of those that were sooner, else 0. */
  reservePrompt(server: string, tokens: number): Promise<number>;
  /** Another VM takes a place at a server whose places are kept here. */
  handleReservation(server: string, tokens: number): number;
}

/**
 * Fleets of up to this many VMs tell each other of every prompt: some ten small calls, and nobody
 * waits. In larger ones these calls would cost as much as the requests themselves.
 */
const MAX_TOLD_VMS = 12;

/**
 * Creates what lets VMs agree on places for prompts.
 *
 * Prompts often come within some milliseconds of each other, and reports of servers are older than
 * that: without it VMs find the same engine idle, and one prompt waits for the other. In a large fleet
 * the places of each server are kept by one VM, by rendezvous hashing over those heard of: one call a
 * prompt, whatever the size. VMs that disagree on who keeps them, or one that does not answer, only
 * bring the old state back.
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
      if (peers.length >= MAX_TOLD_VMS) return;
      peers.forEach(({ address }) => tellPeer(address, { server, tokens }));
    },
    reservePrompt: async (server, tokens) => {
      const peers = listPeers();
      if (peers.length < MAX_TOLD_VMS) return 0;
      const vms = [self, ...peers.map(({ vm }) => vm)];
      const [owner] = chooseOwners(vms, server, 1);
      // What this VM sends itself it counts anyway.
      if (owner === self) return 0;
      const keeper = peers.find(({ vm }) => vm === owner);
      return keeper ? ((await askPeer(keeper.address, { server, tokens })) ?? 0) : 0;
    },
    handleReservation,
  };
};
