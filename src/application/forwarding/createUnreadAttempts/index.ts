import { createBoundedMap } from '../../_lib/createBoundedMap';
import type { Clock, EventLog } from '../../ports';

/** The path to a server: its id, and the VM that forwards to it; null if none does. */
export interface AttemptPath {
  readonly server: string;
  readonly relay: string | null;
}

/**
 * Tells when servers have read attempts that were given up.
 *
 * A server that stands still does not read what it is sent. Closing the connection does not take the
 * request back: the server finds it once it goes on.
 */
export interface UnreadAttempts {
  /** Records that an attempt sent at this time, in monotonic ms, was answered, whatever the answer. */
  recordAnswer(path: AttemptPath, sentAtMs: number): void;
  /**
   * Calls `handleRead` once the server must have read an attempt that was given up: when it has
   * answered a later one on the same path, or after `UNREAD_TTL_MS`.
   */
  addAttempt(path: AttemptPath, sentAtMs: number, handleRead: () => void): void;
}

/** Dependencies of the unread attempts. */
export interface UnreadAttemptsDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly log: EventLog;
}

/** After this time a server is taken for gone with all that it has not read. */
export const UNREAD_TTL_MS = 60_000;

/** Paths whose newest answer is remembered. */
const MAX_PATHS = 4000;

interface UnreadAttempt {
  readonly sentAtMs: number;
  readonly close: () => void;
}

const formatPath = ({ relay, server }: AttemptPath): string => `${relay ?? ''} ${server}`;

/** Creates the unread attempts of this VM, with none yet. */
export const createUnreadAttempts = ({
  clock,
  log,
}: UnreadAttemptsDependencies): UnreadAttempts => {
  /** When the newest attempt that was answered was sent, by path. */
  const answeredSentAtMs = createBoundedMap<number>(MAX_PATHS);
  const unreadByPath = new Map<string, Set<UnreadAttempt>>();

  const closeOlder = (key: string, { relay, server }: AttemptPath, sentAtMs: number): void => {
    const unread = unreadByPath.get(key);
    if (!unread) return;
    const read = [...unread].filter((attempt) => attempt.sentAtMs < sentAtMs);
    if (read.length === 0) return;
    const oldestMs = Math.min(...read.map((attempt) => attempt.sentAtMs));
    log.info('unread attempts settled', {
      server,
      relay: relay ?? '',
      attempts: read.length,
      oldestAgeMs: Math.round(clock.readMonotonicMs() - oldestMs),
    });
    read.forEach(({ close }) => close());
  };

  return {
    recordAnswer: (path, sentAtMs) => {
      const key = formatPath(path);
      answeredSentAtMs.set(key, Math.max(sentAtMs, answeredSentAtMs.get(key) ?? -Infinity));
      closeOlder(key, path, sentAtMs);
    },
    addAttempt: (path, sentAtMs, handleRead) => {
      const key = formatPath(path);
      if ((answeredSentAtMs.get(key) ?? -Infinity) > sentAtMs) return handleRead();
      const unread = unreadByPath.get(key) ?? new Set<UnreadAttempt>();
      unreadByPath.set(key, unread);
      let cancelTimer = (): void => undefined;
      const attempt: UnreadAttempt = {
        sentAtMs,
        close: () => {
          cancelTimer();
          unread.delete(attempt);
          if (unread.size === 0) unreadByPath.delete(key);
          handleRead();
        },
      };
      unread.add(attempt);
      cancelTimer = clock.startTimer(UNREAD_TTL_MS, attempt.close);
      return undefined;
    },
  };
};
