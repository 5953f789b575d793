import type { ScheduleDecision } from '../../../../../domain/scheduling';

/** A grant that its VM may not have received. */
export interface Grant {
  readonly decision: Extract<ScheduleDecision, { kind: 'send' }>;
  readonly grantedAtMs: number;
  /** True if the grant was part of a response, so that the VM has it or will ask again. */
  readonly isAnswered: boolean;
}

/** The grants that are repeated when their ticket is renewed. */
export interface GrantRecord {
  add(grant: Grant): void;
  /** Finds a grant and notes that it is part of a response. */
  findForResponse(ticket: string): Grant | null;
  isAnswered(ticket: string): boolean;
  /** Removes a grant; false if there is none. */
  remove(ticket: string): boolean;
  removeOld(nowMs: number): void;
}

/** Time for which a grant is repeated: no VM asks for longer without having received it. */
const GRANT_LIFETIME_MS = 5000;

/** Creates the record of recent grants, which makes renewals idempotent. */
export const createGrantRecord = (): GrantRecord => {
  const grants = new Map<string, Grant>();
  return {
    add: (grant) => {
      grants.set(grant.decision.ticket, grant);
    },
    findForResponse: (ticket) => {
      const grant = grants.get(ticket);
      if (!grant) return null;
      grants.set(ticket, { ...grant, isAnswered: true });
      return grant;
    },
    isAnswered: (ticket) => grants.get(ticket)?.isAnswered ?? false,
    remove: (ticket) => grants.delete(ticket),
    // Insertion order is the order of time: `set` of a known key keeps its place.
    removeOld: (nowMs) => {
      for (const [ticket, { grantedAtMs }] of grants) {
        if (grantedAtMs > nowMs - GRANT_LIFETIME_MS) return;
        grants.delete(ticket);
      }
    },
  };
};
