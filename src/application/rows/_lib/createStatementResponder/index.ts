import type { Clock } from '../../../ports';
import type { RowFollower, StatementsResponse, StatementsRequest } from '../../types';

/** Dependencies of a statement responder. */
export interface StatementResponderDependencies {
  readonly followers: ReadonlyMap<
    string,
    Pick<RowFollower, 'buildStatement' | 'readAgeMs' | 'readVersion'>
  >;
  /**
   * Whether this VM's own calls to the store recently failed, even if other VMs sent rows since.
   */
  readonly isCutOff: () => boolean;
  /** Rows that are fresher by at least this much justify a response. */
  readonly minGainMs: number;
  readonly clock: Clock;
}

/** Answers other VMs' requests for this VM's rows. */
export interface StatementResponder {
  /** Responds as soon as newer rows are available, or at the request's timeout. */
  handleRequest(request: StatementsRequest): Promise<StatementsResponse>;
  /** Answers the pending requests for which newer rows are available. */
  handleUpdate(): void;
  /** Answers all pending requests, since no newer rows will come from this VM. */
  answerAll(): void;
}

/** Upper bound on the time for which a response waits, whatever the request says. */
const MAX_HOLD_MS = 5000;

/** Requests that wait at once; beyond this the oldest is answered. Exceeds the largest zone. */
const MAX_PENDING = 256;

/** Creates a statement responder. */
export const createStatementResponder = ({
  clock,
  followers,
  minGainMs,
  isCutOff,
}: StatementResponderDependencies): StatementResponder => {
  /** Pending requests, oldest first; each function answers if newer rows exist or it must. */
  const pending = new Set<(mustAnswer: boolean) => void>();

  const buildResponse = (request: StatementsRequest, heldMs: number): StatementsResponse => ({
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
        const hasNewer = (heldMs: number): boolean =>
          request.held.some(({ ageMs, table, version }) => {
            const follower = followers.get(table);
            if (!follower) return false;
            const isFresher = follower.readAgeMs() + minGainMs <= ageMs + heldMs;
            return isFresher || follower.readVersion() > version;
          });
        let cancelTimer = (): void => undefined;
        const answerIfReady = (mustAnswer: boolean): void => {
          const heldMs = clock.readMonotonicMs() - startedAtMs;
          if (!mustAnswer && !hasNewer(heldMs)) return;
          cancelTimer();
          pending.delete(answerIfReady);
          resolve(buildResponse(request, heldMs));
        };
        pending.add(answerIfReady);
        const waitMs = Math.min(MAX_HOLD_MS, Math.max(0, request.waitMs));
        cancelTimer = clock.startTimer(waitMs, () => answerIfReady(true));
        answerIfReady(waitMs === 0);
        if (pending.size > MAX_PENDING) [...pending][0]?.(true);
      }),
    handleUpdate: () => [...pending].forEach((answerIfReady) => answerIfReady(false)),
    answerAll: () => [...pending].forEach((answerIfReady) => answerIfReady(true)),
  };
};
