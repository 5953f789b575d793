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
  /** Rejections per second above which the server falls over; null if it is not brittle. */
  readonly maxRejectionsPerS: number | null;
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
  /** Rejections per second above which the server falls over; null if it is not brittle. */
  readMaxRejectionsPerS(server: string): number | null;
  /** Forgets a server that is gone or that was restarted. */
  forgetServer(server: string): void;
}

interface KnownLimit {
  readonly limitPerS: number | null;
  readonly maxRejectionsPerS: number | null;
  readonly atMs: number;
}

/**
 * Used for lower limits too, so that this VM still sends requests and notices the end of the limit.
 */
const MIN_LIMIT_PER_S = 1000 / PERMIT_WINDOW_MS;

/** Gossip includes an ended limit for this long. A limit in force is stated in every response. */
const ENDED_LIMIT_TTL_MS = 60_000;

const isUnlimited = ({
  limitPerS,
  maxRejectionsPerS,
}: Pick<KnownLimit, 'limitPerS' | 'maxRejectionsPerS'>): boolean =>
  limitPerS === null && maxRejectionsPerS === null;

/** Creates the server limits, with no limit known. */
export const createServerLimits = ({
  clock,
  log,
  publishLimit,
}: ServerLimitsDependencies): ServerLimits => {
  const knownLimits = new Map<string, KnownLimit>();

  /** Stores a limit that is newer than the known one; returns true if a value changed. */
  const merge = (server: string, limit: KnownLimit, source: string): boolean => {
    const { atMs, limitPerS, maxRejectionsPerS } = limit;
    const previous = knownLimits.get(server);
    if (previous ? atMs < previous.atMs : isUnlimited(limit)) return false;
    knownLimits.set(server, limit);
    const hasChangedLimit = (previous?.limitPerS ?? null) !== limitPerS;
    const hasChangedBrittleness = (previous?.maxRejectionsPerS ?? null) !== maxRejectionsPerS;
    if (hasChangedLimit) {
      const before = previous?.limitPerS ?? 'none';
      log.info('server limit', { server, limitPerS: limitPerS ?? 'none', before, source });
    }
    if (hasChangedBrittleness) {
      const stated = maxRejectionsPerS ?? 'none';
      log.info('server brittle', { server, maxRejectionsPerS: stated, source });
    }
    return hasChangedLimit || hasChangedBrittleness;
  };

  return {
    recordAdvertisedLimit: (server, { limitPerS, maxRejectionsPerS, sentAtMs }) => {
      const nowMs = clock.readMonotonicMs();
      // Responses may arrive out of order: one without a limit ends the limit only if the server
      // surely wrote the response after the last one that stated the limit.
      const atMs = isUnlimited({ limitPerS, maxRejectionsPerS }) ? sentAtMs : nowMs;
      if (merge(server, { limitPerS, maxRejectionsPerS, atMs }, 'own')) {
        publishLimit({ server, limitPerS, maxRejectionsPerS, ageMs: nowMs - atMs });
      }
    },
    mergeLimit: ({ ageMs, limitPerS, maxRejectionsPerS, server }) =>
      merge(
        server,
        { limitPerS, maxRejectionsPerS, atMs: clock.readMonotonicMs() - ageMs },
        'told',
      ),
    listLimits: () => {
      const nowMs = clock.readMonotonicMs();
      return [...knownLimits]
        .filter(([, limit]) => !isUnlimited(limit) || nowMs - limit.atMs < ENDED_LIMIT_TTL_MS)
        .map(([server, { atMs, ...limit }]) => ({ server, ...limit, ageMs: nowMs - atMs }));
    },
    readLimitPerS: (server) => {
      const limitPerS = knownLimits.get(server)?.limitPerS ?? null;
      return limitPerS === null ? null : Math.max(MIN_LIMIT_PER_S, limitPerS);
    },
    readMaxRejectionsPerS: (server) => knownLimits.get(server)?.maxRejectionsPerS ?? null,
    forgetServer: (server) => {
      knownLimits.delete(server);
    },
  };
};
