import { err, ok, type Result } from 'neverthrow';
import {
  buildClaim,
  buildTakeoverClaim,
  chooseAcquireStep,
  chooseTakeoverStep,
  chooseUpdateStep,
  decodeAnswer,
  encodeAnswer,
  type ClaimChange,
  type Claimant,
  type ClaimStep,
} from '../../../domain/claim';
import { ClaimState, type ClaimRow } from '../../../domain/types';
import type { ClaimError, Claims, Clock, ObjectStore, Randomness, TableStore } from '../../ports';
import { convertStoreError } from '../_lib/convertStoreError';
import { createAbandonedClaims } from '../_lib/createAbandonedClaims';
import { createClaimTable } from '../_lib/createClaimTable';
import { createUpdateQueue } from '../_lib/createUpdateQueue';
import { runClaimSteps, type FinalClaimStep } from '../_lib/runClaimSteps';

/** Dependencies of the claims. */
export interface ClaimsDependencies {
  readonly tableStore: TableStore;
  readonly objectStore: ObjectStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Name of this VM in the rows. */
  readonly vm: string;
  readonly peerAddress: string;
  /** How long finished answers are kept, in milliseconds; from the current configuration. */
  readonly readAnswerTtlMs: () => number;
}

const CLAIM_ID_BYTES = 16;

/** Small enough that revisions stay safe integers over thousands of takeovers. */
const REVISION_BYTES = 4;

/** The claim id separates the late answer of a paused holder from that of the VM that took over. */
const buildAnswerKey = (row: ClaimRow): string =>
  `answers/${row.workspace}/${row.keyDigest}/${row.claimId}`;

const convertFinalStep = (step: FinalClaimStep): Result<ClaimRow, ClaimError> =>
  step.kind === 'done' ? ok(step.row) : err({ kind: 'lost', row: step.row });

/** Creates the claims of this VM on top of the table store and the object store. */
export function createClaims(dependencies: ClaimsDependencies): Claims {
  const { objectStore, clock, randomness, vm, peerAddress } = dependencies;
  const table = createClaimTable(dependencies);
  const abandoned = createAbandonedClaims(table, clock);
  const buildClaimant = (): Claimant => ({
    claimId: randomness.readHex(CLAIM_ID_BYTES),
    vm,
    peerAddress,
    revision: Number.parseInt(randomness.readHex(REVISION_BYTES), 16) + 1,
  });
  const readNowS = (): number => Math.floor(clock.readWallMs() / 1000);

  const writeChange = async (
    row: ClaimRow,
    change: ClaimChange,
  ): Promise<Result<ClaimRow, ClaimError>> => {
    const result = await runClaimSteps(table, clock, {
      row: { ...row, ...change, revision: row.revision + 1 },
      expectedRevision: row.revision,
      chooseStep: (sent, reply) => chooseUpdateStep(sent, change, reply),
    });
    return result.mapErr(({ error }) => convertStoreError(error)).andThen(convertFinalStep);
  };
  const updates = createUpdateQueue(writeChange);

  /** Nothing was sent under an abandoned claim of this VM, so a new claim may replace it. */
  const replaceAbandoned = (step: ClaimStep, sent: ClaimRow): ClaimStep =>
    step.kind === 'lost' && step.row !== null && abandoned.has(step.row)
      ? {
          kind: 'write',
          row: { ...sent, revision: step.row.revision + sent.revision },
          expectedRevision: step.row.revision,
        }
      : step;

  return {
    acquireClaim: async (request) => {
      const row = buildClaim(request, buildClaimant());
      const result = await runClaimSteps(table, clock, {
        row,
        expectedRevision: null,
        chooseStep: (sent, reply) =>
          replaceAbandoned(chooseAcquireStep(sent, reply, readNowS()), sent),
      });
      if (result.isErr()) {
        // An idempotent generation runs without its claim. If the row appears later, it leads
        // repeats of the request to the generation, so the row must stay.
        if (result.error.pendingWrite && !request.idempotent) abandoned.add(row);
        return err(convertStoreError(result.error.error));
      }
      abandoned.removeStale();
      const { kind, row: current } = result.value;
      if (kind === 'done') return ok({ kind: 'granted', row: current });
      return current === null
        ? err({ kind: 'lost', row: null })
        : ok({ kind: 'taken', row: current });
    },

    readClaim: async (workspace, keyDigest) => {
      const read = await table.readRow(workspace, keyDigest);
      return read.map((stored) => stored?.row ?? null).mapErr(convertStoreError);
    },

    takeOverClaim: async (seen) => {
      const row = buildTakeoverClaim(seen, buildClaimant());
      const result = await runClaimSteps(table, clock, {
        row,
        expectedRevision: seen.revision,
        chooseStep: (sent, reply) => chooseTakeoverStep(seen, sent, reply),
      });
      return result.mapErr(({ error }) => convertStoreError(error)).andThen(convertFinalStep);
    },

    updateClaim: (row, change) => updates.add(row, change),

    writeAnswer: async (row, answer) => {
      // The object is written first, so that every finished row has its answer.
      const written = await objectStore.writeObject(buildAnswerKey(row), encodeAnswer(answer), {
        onlyIfAbsent: false,
      });
      if (written.isErr()) return err(convertStoreError(written.error));
      return updates.add(row, { state: ClaimState.Finished });
    },

    readAnswer: async (row) => {
      const read = await objectStore.readObject(buildAnswerKey(row));
      return read.mapErr(convertStoreError).andThen((content) => {
        if (content === null) return ok(null);
        return decodeAnswer(content).mapErr(({ kind }): ClaimError => ({
          kind: 'store-unavailable',
          reason: kind,
          retryAfterMs: 0,
        }));
      });
    },
  };
}
