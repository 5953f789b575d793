import { err, ok, type Result } from 'neverthrow';
import { ClaimState, type ClaimRow, type StoredAnswer } from '../../../../domain/types';
import type { ClaimError, Claims, Clock } from '../../../ports';
import { waitDelay } from '../../../time';

/** What a claim keeper needs. */
export interface ClaimWriterDependencies {
  readonly claims: Claims;
  readonly clock: Clock;
  /** Called once if another VM has taken the claim over. */
  readonly handleLost: () => void;
  /** Takes the write of the end, which settles when the end is stored or given up. */
  readonly addPendingWrite: (write: Promise<void>) => void;
}

/** Writes the progress of one claimed generation, one write at a time. */
export interface ClaimWriter {
  /** Records who runs it; `ok` means that the row says so. */
  recordAttempt(attempt: {
    readonly backendServer: string;
    readonly streamId: string;
    readonly attempt: number;
  }): Promise<Result<void, ClaimError>>;
  /**
   * Stores the answer, or marks the claim as failed where there is none. What surely did not run
   * leaves no stream in the row, so that a repeat may run it.
   */
  recordOutcome(answer: StoredAnswer | null, options: { readonly ran: boolean }): void;
}

type Write = (row: ClaimRow) => Promise<Result<ClaimRow, ClaimError>>;

/** An answer is worth some tries, but not a queue of them that fills the memory of an entry. */
const MAX_END_TRIES = 20;
const MIN_END_RETRY_MS = 500;

/**
 * Creates the keeper of a claim that this VM holds.
 *
 * @param dependencies - Claims, clock and what to do when the claim is lost.
 * @param firstRow - Row as granted.
 * @returns Keeper.
 */
export const createClaimWriter = (
  dependencies: ClaimWriterDependencies,
  firstRow: ClaimRow,
): ClaimWriter => {
  let row = firstRow;
  let isLost = false;
  let tail: Promise<unknown> = Promise.resolve();

  const runWrite = async (write: Write): Promise<Result<void, ClaimError>> => {
    if (isLost) return err({ kind: 'lost', row: null });
    const written = await write(row);
    if (written.isOk()) {
      row = written.value;
      return ok();
    }
    if (written.error.kind === 'lost') {
      // A VM that was paused finds out here that its work went on elsewhere, before it does more.
      isLost = true;
      dependencies.handleLost();
    }
    return err(written.error);
  };

  const addWrite = (write: Write): Promise<Result<void, ClaimError>> => {
    const next = tail.then(() => runWrite(write));
    tail = next;
    return next;
  };

  const recordEnd = async (write: Write, tries: number): Promise<void> => {
    const written = await addWrite(write);
    if (written.isOk() || written.error.kind === 'lost' || tries >= MAX_END_TRIES) return;
    const delayMs = Math.max(MIN_END_RETRY_MS, written.error.retryAfterMs);
    await waitDelay(dependencies.clock, delayMs);
    await recordEnd(write, tries + 1);
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
      dependencies.addPendingWrite(recordEnd(write, 1));
    },
  };
};
