import type { ClaimRow } from '../../../../domain/types';
import type { GenerationRun, GenerationsContext } from '../../types';
import { createClaimWriter } from '../createClaimWriter';

/**
 * Attaches a writer to a run for the claim under which the run's attempts may be sent.
 *
 * @param context - Generations of this VM.
 * @param run - Run of the claimed request.
 * @param row - Row of the claim as granted to this VM.
 */
export const attachClaimWriter = (
  context: GenerationsContext,
  run: GenerationRun,
  row: ClaimRow,
): void => {
  const { claims, clock } = context.dependencies;
  const handleLost = (): void => run.dispatch({ kind: 'abandoned', reason: 'claim-lost' });
  run.setClaimWriter(
    createClaimWriter(
      { claims, clock, handleLost, addPendingWrite: context.pendingWrites.add },
      row,
    ),
  );
};
