import { PERMIT_WINDOW_MS, type SharedLimit } from '../../../domain/limits';
import type { Clock, EventLog } from '../../ports';
import type { GossipedLimits } from '../types';

/** Dependencies of the server limits. */
export interface ServerLimitsDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  /** Tells other VMs that a server changed or dropped its rate limit. */
  readonly publishLimit: (limit: SharedLimit) => void;
}

/** The rate limit that a server states in a response. */
export interface AdvertisedLimit {
  /** Requests per second from all VMs together; null if the server states no limit. */
  readonly limitPerS: number | null;
  /** When the request was sent, which is before the server wrote its response. */
  readonly sentAtMs: number;
}

/** Tracks the rate limits that servers state in their responses. */
export interface ServerLimits extends GossipedLimits {
  recordAdvertisedLimit(server: string, limit: AdvertisedLimit): void;
  /**
   * Requests per second that a server takes from all VMs together, above 0; null without a limit.
   */
  readLimitPerS(server: string): number | null;
  /** Forgets a server that is gone or that was restarted. */
  forgetServer(server: string): void;
}

interface KnownLimit {
  readonly limitPerS: number | null;
  readonly atMs: number;
}

/**
 * Used for lower limits too, so that this VM still sends requests and notices the end of the limit.
 */
const MIN_LIMIT_PER_S = 1000 / PERMIT_WINDOW_MS;

/** Gossip includes an ended limit for this long. A limit in force is stated in every response. */
const ENDED_LIMIT_TTL_MS = 60_000;

/** Creates the server limits, with no limit known. */
export const createServerLimits = ({
  clock,
  log,
  publishLimit,
}: ServerLimitsDependencies): ServerLimits => {
  const knownLimits = new Map<string, KnownLimit>();

  /** Stores a limit that is newer than the known one; returns true if the value changed. */
  const merge = (server: string, { atMs, limitPerS }: KnownLimit, source: string): boolean => {
    const previous = knownLimits.get(server);
    if (previous ? atMs < previous.atMs : limitPerS === null) return false;
    knownLimits.set(server, { limitPerS, atMs });
    if (previous?.limitPerS === limitPerS) return false;
    log.info('server limit', {
      server,
      limitPerS: limitPerS ?? 'none',
      before: previous?.limitPerS ?? 'none',
      source,
    });
    return true;
  };

  return {
    recordAdvertisedLimit: (server, { limitPerS, sentAtMs }) => {
      const nowMs = clock.readMonotonicMs();
      // Responses may arrive out of order: one without a limit ends the limit only if the server
      // surely wrote the response after the last one that stated the limit.
      const atMs = limitPerS === null ? sentAtMs : nowMs;
      if (merge(server, { limitPerS, atMs }, 'own')) {
        publishLimit({ server, limitPerS, ageMs: nowMs - atMs });
      }
    },
    mergeLimit: ({ ageMs, limitPerS, server }) =>
      merge(server, { limitPerS, atMs: clock.readMonotonicMs() - ageMs }, 'told'),
    listLimits: () => {
      const nowMs = clock.readMonotonicMs();
      return [...knownLimits]
        .filter(
          ([, { atMs, limitPerS }]) => limitPerS !== null || nowMs - atMs < ENDED_LIMIT_TTL_MS,
        )
        .map(([server, { atMs, limitPerS }]) => ({ server, limitPerS, ageMs: nowMs - atMs }));
    },
    readLimitPerS: (server) => {
      const limitPerS = knownLimits.get(server)?.limitPerS ?? null;
      return limitPerS === null ? null : Math.max(MIN_LIMIT_PER_S, limitPerS);
    },
    forgetServer: (server) => {
      knownLimits.delete(server);
    },
  };
};
