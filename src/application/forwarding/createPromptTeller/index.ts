/** What a teller needs. */
export interface PromptTellerDependencies {
  /** Addresses of up to so many other VMs. */
  readonly drawPeers: (count: number) => readonly string[];
  readonly countVms: () => number;
  readonly tellPeer: (
    address: string,
    prompt: { readonly server: string; readonly tokens: number },
  ) => void;
}

/**
 * Fleets of up to this many VMs tell each other of every prompt: some ten small calls a prompt. In
 * larger ones the calls would grow with VMs times prompts, while two prompts meet more rarely, as the
 * engines are more.
 */
const MAX_TOLD_VMS = 12;

/**
 * Creates what tells other VMs of prompts that this VM sends.
 *
 * Prompts often come within some milliseconds of each other, and reports of servers are older than
 * that: without it two VMs find the same engine idle and one of the prompts waits for the other.
 */
export const createPromptTeller =
  ({
    countVms,
    drawPeers,
    tellPeer,
  }: PromptTellerDependencies): ((server: string, tokens: number) => void) =>
  (server, tokens) => {
    if (countVms() > MAX_TOLD_VMS) return;
    drawPeers(MAX_TOLD_VMS).forEach((address) => tellPeer(address, { server, tokens }));
  };
