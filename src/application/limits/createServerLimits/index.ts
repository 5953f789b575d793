import type { Clock, EventLog } from '../../ports';

/** What knowing of limits needs. */
export interface ServerLimitsDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
}

/** What one answer of a server says of its rate limit. */
export interface LimitStatement {
  /** Requests a second from all VMs together; null: it names none. */
  readonly limitPerS: number | null;
  /** When the request was sent: the answer was made later. */
  readonly sentAtMs: number;
}

/** Knows the rate limits that servers name in their answers. */
export interface ServerLimits {
  recordStatement(server: string, statement: LimitStatement): void;
  /** Requests a second that a server takes from all VMs together; null if it has no limit. */
  readLimitPerS(server: string): number | null;
  /** Forgets a server that is gone, or that started again. */
  drop(server: string): void;
}

interface Held {
  readonly limitPerS: number | null;
  readonly atMs: number;
}

/** Creates what knows the rate limits of servers; there are none. */
export const createServerLimits = ({ clock, log }: ServerLimitsDependencies): ServerLimits => {
  const held = new Map<string, Held>();
  return {
    recordStatement: (server, { limitPerS, sentAtMs }) => {
      const before = held.get(server);
      if (!before && limitPerS === null) return;
      // Answers cross: one without a limit ends it only if it was surely made after the last that named it.
      const atMs = limitPerS === null ? sentAtMs : clock.readMonotonicMs();
      if (before && atMs < before.atMs) return;
      held.set(server, { limitPerS, atMs });
      if (before?.limitPerS === limitPerS) return;
      log.info('server limit', {
        server,
        limitPerS: limitPerS ?? 'none',
        before: before?.limitPerS ?? 'none',
      });
    },
    readLimitPerS: (server) => held.get(server)?.limitPerS ?? null,
    drop: (server) => {
      held.delete(server);
    },
  };
};
