import type { Clock } from '../../../ports';
import type { RowFollower, StatementsResponse, StatementsRequest } from '../../types';

/** What a desk needs. */
export interface StatementResponderDependencies {
  readonly followers: ReadonlyMap<
    string,
    Pick<RowFollower, 'buildStatement' | 'readAgeMs' | 'readVersion'>
  >;
  /** Whether this VM's own calls to the store failed a moment ago, whatever others told it since. */
  readonly isCutOff: () => boolean;
  /** Knowledge that is younger by this much is worth an answer. */
  readonly minGainMs: number;
  readonly clock: Clock;
}

/** Answers other VMs that ask what is known here. */
export interface StatementResponder {
  /** Answers as soon as there is more to tell, or the request's time is over. */
  handleRequest(request: StatementsRequest): Promise<StatementsResponse>;
  /** More is known: answers who waits for it. */
  handleUpdate(): void;
  /** Answers all that wait, as nothing more will come from here. */
  answerAll(): void;
}

/** Longest time for which an answer is held back, whatever is asked for. */
const MAX_HOLD_MS = 5000;

/** Requests held at once: beyond them the oldest is answered. Largest zone, with some to spare. */
const MAX_HELD = 256;

/** Creates the desk at which other VMs ask. */
export const createStatementResponder = ({
  clock,
  followers,
  minGainMs,
  isCutOff,
}: StatementResponderDependencies): StatementResponder => {
  /** Requests that are held back, oldest first: each looks whether there is more to tell. */
  const held = new Set<(mustAnswer: boolean) => void>();

  const buildAnswer = (request: StatementsRequest, heldMs: number): StatementsResponse => ({
    heldMs,
    isCutOff: isCutOff(),
    tables: request.held.flatMap(({ table, version }) => {
      const follower = followers.get(table);
      return follower ? [follower.buildStatement(version)] : [];
    }),
  });

  return {
    handleRequest: (request) =>
      new Promise((resolve) => {
        const startedAtMs = clock.readMonotonicMs();
        const hasMore = (heldMs: number): boolean =>
          request.held.some(({ ageMs, table, version }) => {
            const follower = followers.get(table);
            if (!follower) return false;
            const isYounger = follower.readAgeMs() + minGainMs <= ageMs + heldMs;
            return isYounger || follower.readVersion() > version;
          });
        let cancelTimer = (): void => undefined;
        const look = (mustAnswer: boolean): void => {
          const heldMs = clock.readMonotonicMs() - startedAtMs;
          if (!mustAnswer && !hasMore(heldMs)) return;
          cancelTimer();
          held.delete(look);
          resolve(buildAnswer(request, heldMs));
        };
        held.add(look);
        const waitMs = Math.min(MAX_HOLD_MS, Math.max(0, request.waitMs));
        cancelTimer = clock.startTimer(waitMs, () => look(true));
        look(waitMs === 0);
        if (held.size > MAX_HELD) [...held][0]?.(true);
      }),
    handleUpdate: () => [...held].forEach((look) => look(false)),
    answerAll: () => [...held].forEach((look) => look(true)),
  };
};
