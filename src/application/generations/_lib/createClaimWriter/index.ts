import { err, ok, type Result } from 'neverthrow';
import { ClaimState, type ClaimRow, type StoredAnswer } from '../../../../domain/types';
import type { ClaimError, Claims, Clock } from '../../../ports';
import { waitDelay } from '../../../time';

/** Dependencies of a claim writer. */
export interface ClaimWriterDependencies {
  readonly claims: Claims;
  readonly clock: Clock;
  /** Called once if another VM takes the claim over. */
  readonly handleLost: () => void;
  /** Registers the outcome's write, which settles when the outcome is stored or given up. */
  readonly addPendingWrite: (write: Promise<void>) => void;
}

/** Writes the progress of one claimed generation to its claim, one write at a time. */
export interface ClaimWriter {
  /** Records the running attempt; `ok` means that the row is written. */
  recordAttempt(attempt: {
    readonly backendServer: string;
    readonly streamId: string;
    readonly attempt: number;
  }): Promise<Result<void, ClaimError>>;
  /**
   * Stores the answer, or marks the claim as failed if there is no answer. If the request certainly
   * did not run, the stream is cleared from the row, so that a repeat may run the request.
   */
  recordOutcome(answer: StoredAnswer | null, options: { readonly ran: boolean }): void;
}

type Write = (row: ClaimRow) => Promise<Result<ClaimRow, ClaimError>>;

/** Bounds the retries, as pending answers fill the memory of the VM while the store is down. */
const MAX_OUTCOME_WRITE_TRIES = 20;
const MIN_OUTCOME_RETRY_DELAY_MS = 500;

/**
 * Creates the writer of a claim that this VM holds.
 *
 * @param dependencies - Claims, clock and callbacks.
 * @param firstRow - Row as granted.
 * @returns Writer.
 */
export const createClaimWriter = (
  dependencies: ClaimWriterDependencies,
  firstRow: ClaimRow,
): ClaimWriter => {
  let row = firstRow;
  let isLost = false;
  let lastWrite: Promise<unknown> = Promise.resolve();

  const runWrite = async (write: Write): Promise<Result<void, ClaimError>> => {
    if (isLost) return err({ kind: 'lost', row: null });
    const written = await write(row);
    if (written.isOk()) {
      row = written.value;
      return ok();
    }
    if (written.error.kind === 'lost') {
      // A VM that was paused learns here, before it does more work, that another VM took over.
      isLost = true;
      dependencies.handleLost();
    }
    return err(written.error);
  };

  const addWrite = (write: Write): Promise<Result<void, ClaimError>> => {
    const next = lastWrite.then(() => runWrite(write));
    lastWrite = next;
    return next;
  };

  const retryOutcomeWrite = async (write: Write, tries: number): Promise<void> => {
    const written = await addWrite(write);
    if (written.isOk() || written.error.kind === 'lost' || tries >= MAX_OUTCOME_WRITE_TRIES) return;
    const delayMs = Math.max(MIN_OUTCOME_RETRY_DELAY_MS, written.error.retryAfterMs);
    await waitDelay(dependencies.clock, delayMs);
    await retryOutcomeWrite(write, tries + 1);
  };

  return {
    recordAttempt: (change) =>
      addWrite((current) => dependencies.claims.updateClaim(current, change)),
    recordOutcome: (answer, { ran }) => {
      const failed = {
        state: ClaimState.Failed,
        ...(ran ? {} : { streamId: '', backendServer: '' }),
      };
      const write: Write = (current) =>
        answer
          ? dependencies.claims.writeAnswer(current, answer)
          : dependencies.claims.updateClaim(current, failed);
      dependencies.addPendingWrite(retryOutcomeWrite(write, 1));
    },
  };
};
