import type { ServerEntry, ServerLoad } from '../../../../domain/forwarding';

/** A prompt that another VM sent to a server. */
export interface PeerPrompt {
  readonly tokens: number;
  readonly receivedAtMs: number;
}

/** The state that this VM keeps of one server. */
export interface ServerRecord {
  entry: ServerEntry;
  running: number;
  prefillTokens: number;
  /** Prompts that other VMs sent to the server a moment ago. */
  peerPrompts: readonly PeerPrompt[];
  copies: number;
  load: ServerLoad | null;
  loadAtMs: number;
  suspectedUntilMs: number;
  /** When the server became known, or answered again after a suspicion. */
  availableAtMs: number;
  /**
   * Until when the server is known to have been alive: the earliest time at which it can have sent
   * its last answer to this VM under its own id.
   */
  aliveAtMs: number;
  /** Suspicions in a row without a successful response in between. */
  consecutiveSuspicions: number;
  /** Requests in progress that were sent after a suspicion and have no outcome yet. */
  probeRequests: number;
  /** When the server counts as gone; infinite while it has an entry. */
  goneAtMs: number;
  /** True if the server was found at the address of a server that ended, and has no entry yet. */
  isInferred: boolean;
  /** Until then the server wants no requests from this VM. */
  pausedUntilMs: number;
  /** Until then the server counts as full: it refused a request for want of room. */
  fullUntilMs: number;
  /** Until then the server's rate limit leaves no permit to this VM. */
  rateLimitedUntilMs: number;
  /** Called once the server process that the work was sent to has surely ended. */
  readonly lossHandlers: Set<() => void>;
}

/** Builds the record of a newly known server. */
export const buildServerRecord = (entry: ServerEntry, availableAtMs: number): ServerRecord => ({
  entry,
  running: 0,
  prefillTokens: 0,
  peerPrompts: [],
  copies: 0,
  load: null,
  loadAtMs: 0,
  suspectedUntilMs: 0,
  availableAtMs,
  aliveAtMs: -Infinity,
  consecutiveSuspicions: 0,
  probeRequests: 0,
  goneAtMs: Infinity,
  isInferred: false,
  pausedUntilMs: -Infinity,
  fullUntilMs: -Infinity,
  rateLimitedUntilMs: -Infinity,
  lossHandlers: new Set(),
});
