import { err, ok, type Result } from 'neverthrow';
import type { ClaimReply, ClaimStep } from '../../../../domain/claim';
import type { ClaimRow } from '../../../../domain/types';
import type { Clock, StoreError } from '../../../ports';
import type { ClaimTable } from '../createClaimTable';

/** Deadline for a whole change of a claim, including reads back, in milliseconds. */
export const CLAIM_DEADLINE_MS = 1000;

/** Final step of a change of a claim. */
export type FinalClaimStep = Extract<ClaimStep, { kind: 'done' | 'lost' }>;

/** A change of a claim whose result is unknown. */
export interface UnresolvedClaim {
  readonly error: StoreError;
  /** Whether a write with a lost response may still take effect. */
  readonly pendingWrite: boolean;
}

/** A change of a claim: its first write, and the function that chooses each next step. */
export interface ClaimChangePlan {
  readonly row: ClaimRow;
  readonly expectedRevision: number | null;
  readonly chooseStep: (sent: ClaimRow, reply: ClaimReply) => ClaimStep;
}

const DEADLINE_EXCEEDED: StoreError = {
  kind: 'ambiguous',
  reason: 'no definite result within the deadline',
};

/** Writes and reads back until a step is final, the store fails, or the deadline has passed. */
export async function runClaimSteps(
  table: ClaimTable,
  clock: Clock,
  { row, expectedRevision, chooseStep }: ClaimChangePlan,
): Promise<Result<FinalClaimStep, UnresolvedClaim>> {
  const deadlineMs = clock.readMonotonicMs() + CLAIM_DEADLINE_MS;
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
    const isFinal = step.kind === 'done' || step.kind === 'lost';
    if (!isFinal && clock.readMonotonicMs() >= deadlineMs)
      return err({ error: DEADLINE_EXCEEDED, pendingWrite });
  }
  return ok(step);
}
