import type { ServerEntry, ServerLoad } from '../../../../domain/forwarding';

/** A prompt that another VM sent to a server. */
export interface PeerPrompt {
  readonly tokens: number;
  readonly receivedAtMs: number;
}

/** What this VM holds of one server. */
export interface ServerRecord {
  entry: ServerEntry;
  running: number;
  prefillTokens: number;
  /** Prompts that other VMs sent there a moment ago. */
  peerPrompts: readonly PeerPrompt[];
  copies: number;
  load: ServerLoad | null;
  loadAtMs: number;
  suspectedUntilMs: number;
  /** When it last answered this VM under its id. */
  aliveAtMs: number;
  /** Suspicions in a row, without an answer in between. */
  consecutiveSuspicions: number;
  /** Requests under way that were sent after a suspicion, and have shown nothing yet. */
  probeRequests: number;
  /** When it counts as gone; infinite while its entry is there. */
  goneAtMs: number;
  /** True: it was met at the address of a server that ended, and has no entry yet. */
  isInferred: boolean;
  /** Until then it wants no request of this VM. */
  pausedUntilMs: number;
  /** Until then its rate limit leaves nothing to this VM. */
  rateLimitedUntilMs: number;
  /** Called when the server is surely not the one any more that the work was sent to. */
  readonly lossHandlers: Set<() => void>;
}

/** Builds the record of a server that is new here. */
export const buildServerRecord = (entry: ServerEntry): ServerRecord => ({
  entry,
  running: 0,
  prefillTokens: 0,
  peerPrompts: [],
  copies: 0,
  load: null,
  loadAtMs: 0,
  suspectedUntilMs: 0,
  aliveAtMs: -Infinity,
  consecutiveSuspicions: 0,
  probeRequests: 0,
  goneAtMs: Infinity,
  isInferred: false,
  pausedUntilMs: -Infinity,
  rateLimitedUntilMs: -Infinity,
  lossHandlers: new Set(),
});
