import { err, ok, type Result } from 'neverthrow';
import type { ClaimReply, ClaimStep } from '../../../../domain/claim';
import type { ClaimRow } from '../../../../domain/types';
import type { Clock, StoreError } from '../../../ports';
import type { ClaimTable } from '../createClaimTable';

/** Time for a whole change of a claim, reads back included, milliseconds. */
export const CLAIM_DEADLINE_MS = 1000;

/** How a change of a claim ended. */
export type FinalClaimStep = Extract<ClaimStep, { kind: 'done' | 'lost' }>;

/** The store gave no verdict. */
export interface UnresolvedClaim {
  readonly error: StoreError;
  /** Whether one of the writes may still take effect. */
  readonly pendingWrite: boolean;
}

/** A change of a claim: its first write, and the rule that leads on from there. */
export interface ClaimChangePlan {
  readonly row: ClaimRow;
  readonly expectedRevision: number | null;
  readonly chooseStep: (sent: ClaimRow, reply: ClaimReply) => ClaimStep;
}

const LATE: StoreError = { kind: 'ambiguous', reason: 'no verdict within the deadline' };

/** Writes and reads back until the rule gives an end, the store fails, or time is up. */
export async function runClaimSteps(
  table: ClaimTable,
  clock: Clock,
  { row, expectedRevision, chooseStep }: ClaimChangePlan,
): Promise<Result<FinalClaimStep, UnresolvedClaim>> {
  const untilMs = clock.readMonotonicMs() + CLAIM_DEADLINE_MS;
  let sent = row;
  let pendingWrite = false;

  const runStep = async (
    step: Exclude<ClaimStep, FinalClaimStep>,
  ): Promise<Result<ClaimReply, StoreError>> => {
    if (step.kind === 'read') {
      const read = await table.readRow(sent.workspace, sent.keyDigest);
      return read.map((stored): ClaimReply => ({ kind: 'current', row: stored }));
    }
    sent = step.row;
    const reply = await table.writeRow(step.row, step.expectedRevision);
    pendingWrite ||= reply.isOk() && reply.value.kind === 'unknown';
    return reply;
  };

  let step: ClaimStep = { kind: 'write', row, expectedRevision };
  while (step.kind === 'read' || step.kind === 'write') {
    const reply: Result<ClaimReply, StoreError> = await runStep(step);
    if (reply.isErr()) return err({ error: reply.error, pendingWrite });
    step = chooseStep(sent, reply.value);
    const ended = step.kind === 'done' || step.kind === 'lost';
    if (!ended && clock.readMonotonicMs() >= untilMs) return err({ error: LATE, pendingWrite });
  }
  return ok(step);
}
