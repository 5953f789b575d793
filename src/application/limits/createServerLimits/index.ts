import { PERMIT_WINDOW_MS, type SharedLimit } from '../../../domain/limits';
import type { Clock, EventLog } from '../../ports';
import type { GossipedLimits } from '../types';

/** What knowing of limits needs. */
export interface ServerLimitsDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  /** Tells other VMs that a server named another limit than before, or none any more. */
  readonly publishLimit: (limit: SharedLimit) => void;
}

/** What one answer of a server says of its rate limit. */
export interface AdvertisedLimit {
  /** Requests a second from all VMs together; null: it names none. */
  readonly limitPerS: number | null;
  /** When the request was sent: the answer was made later. */
  readonly sentAtMs: number;
}

/** Knows the rate limits that servers name in their answers. */
export interface ServerLimits extends GossipedLimits {
  recordAdvertisedLimit(server: string, statement: AdvertisedLimit): void;
  /** Requests a second that a server takes from all VMs together, above 0; null if it has no limit. */
  readLimitPerS(server: string): number | null;
  /** Forgets a server that is gone, or that started again. */
  forgetServer(server: string): void;
}

interface Held {
  readonly limitPerS: number | null;
  readonly atMs: number;
}

/** A server that names less still gets this, so that the end of its limit is noticed. */
const MIN_LIMIT_PER_S = 1000 / PERMIT_WINDOW_MS;

/** A limit that ended is told for this long; it is stated again with each answer while it holds. */
const TOLD_MS = 60_000;

/** Creates what knows the rate limits of servers; there are none. */
export const createServerLimits = ({
  clock,
  log,
  publishLimit,
}: ServerLimitsDependencies): ServerLimits => {
  const held = new Map<string, Held>();

  /** Takes what is newer than before; true if it differs. */
  const merge = (server: string, { atMs, limitPerS }: Held, source: string): boolean => {
    const before = held.get(server);
    if (before ? atMs < before.atMs : limitPerS === null) return false;
    held.set(server, { limitPerS, atMs });
    if (before?.limitPerS === limitPerS) return false;
    log.info('server limit', {
      server,
      limitPerS: limitPerS ?? 'none',
      before: before?.limitPerS ?? 'none',
      source,
    });
    return true;
  };

  return {
    recordAdvertisedLimit: (server, { limitPerS, sentAtMs }) => {
      const nowMs = clock.readMonotonicMs();
      // Answers cross: one without a limit ends it only if it was surely made after the last that named it.
      const atMs = limitPerS === null ? sentAtMs : nowMs;
      if (merge(server, { limitPerS, atMs }, 'own')) {
        publishLimit({ server, limitPerS, ageMs: nowMs - atMs });
      }
    },
    mergeLimit: ({ ageMs, limitPerS, server }) =>
      merge(server, { limitPerS, atMs: clock.readMonotonicMs() - ageMs }, 'told'),
    listLimits: () => {
      const nowMs = clock.readMonotonicMs();
      return [...held]
        .filter(([, { atMs, limitPerS }]) => limitPerS !== null || nowMs - atMs < TOLD_MS)
        .map(([server, { atMs, limitPerS }]) => ({ server, limitPerS, ageMs: nowMs - atMs }));
    },
    readLimitPerS: (server) => {
      const limitPerS = held.get(server)?.limitPerS ?? null;
      return limitPerS === null ? null : Math.max(MIN_LIMIT_PER_S, limitPerS);
    },
    forgetServer: (server) => {
      held.delete(server);
    },
  };
};
