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

/** What the claims need. */
export interface ClaimsDependencies {
  readonly tableStore: TableStore;
  readonly objectStore: ObjectStore;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** This VM, as rows name it. */
  readonly vm: string;
  readonly peerAddress: string;
  /** How long finished answers are kept, milliseconds; from the configuration in force. */
  readonly readAnswerTtlMs: () => number;
}

const CLAIM_ID_BYTES = 16;

/** Leaves room for thousands of successors within safe integers. */
const REVISION_BYTES = 4;

/** The claim id keeps a paused holder's late answer apart from its successor's. */
const buildAnswerKey = (row: ClaimRow): string =>
  `answers/${row.workspace}/${row.keyDigest}/${row.claimId}`;

const convertEnd = (end: FinalClaimStep): Result<ClaimRow, ClaimError> =>
  end.kind === 'done' ? ok(end.row) : err({ kind: 'lost', row: end.row });

/** Creates the claims of this VM over the platform's table and object store. */
export function createClaims(dependencies: ClaimsDependencies): Claims {
  const { objectStore, clock, randomness, vm, peerAddress } = dependencies;
  const table = createClaimTable(dependencies);
  const abandoned = createAbandonedClaims(table, clock);
  const buildSeed = (): Claimant => ({
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
    const ended = await runClaimSteps(table, clock, {
      row: { ...row, ...change, revision: row.revision + 1 },
      expectedRevision: row.revision,
      chooseStep: (sent, reply) => chooseUpdateStep(sent, change, reply),
    });
    return ended.mapErr(({ error }) => convertStoreError(error)).andThen(convertEnd);
  };
  const updates = createUpdateQueue(writeChange);

  /** Nothing was sent under an abandoned claim of this VM, so a new one may take its place. */
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
      const row = buildClaim(request, buildSeed());
      const ended = await runClaimSteps(table, clock, {
        row,
        expectedRevision: null,
        chooseStep: (sent, reply) =>
          replaceAbandoned(chooseAcquireStep(sent, reply, readNowS()), sent),
      });
      if (ended.isErr()) {
        // An idempotent generation runs without its claim; a late row leads its repeats to it.
        if (ended.error.pendingWrite && !request.idempotent) abandoned.add(row);
        return err(convertStoreError(ended.error.error));
      }
      abandoned.removeStale();
      const { kind, row: current } = ended.value;
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
      const row = buildTakeoverClaim(seen, buildSeed());
      const ended = await runClaimSteps(table, clock, {
        row,
        expectedRevision: seen.revision,
        chooseStep: (sent, reply) => chooseTakeoverStep(seen, sent, reply),
      });
      return ended.mapErr(({ error }) => convertStoreError(error)).andThen(convertEnd);
    },

    updateClaim: (row, change) => updates.add(row, change),

    writeAnswer: async (row, answer) => {
      // The object first: a row that says finished always has its answer.
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
