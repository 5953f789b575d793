import { ok, type Result } from 'neverthrow';
import {
  chooseServerByLoad,
  countNeededKvTokens,
  hasMemoryForCopy,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { CopyError, KvCopy } from '../../../ports';
import type { HeldCopy, MigrationOutcome, StreamAttempt, StreamRun } from '../../types';
import { buildPaceReader } from '../buildPaceReader';
import { logDecision } from '../logDecision';

/**
 * Timeout for the remainder of a copy after the run has stopped. The copy takes 10 ms, and up to
 * 390 ms behind other copies; the next server recomputes what is missing, at eight tokens per
 * millisecond.
 */
const FINAL_COPY_TIMEOUT_MS = 60;

/** Fraction of the retry budget that migrations may use; the rest is reserved for lost runs. */
const MIGRATION_RETRY_FRACTION = 0.6;

const chooseHolder = (run: StreamRun, source: ServerEntry): ServerEntry | null => {
  const { limits, randomness, serverPaces } = run.dependencies;
  // A stopped run would stall at a server whose rate limit leaves no permit.
  const holders = run.context.servers
    .listHolders(source)
    .filter(({ entry }) => limits.readLimitPerS(entry.id) === null);
  const status = chooseServerByLoad(holders, {
    readPace: buildPaceReader(serverPaces, run.context.service, 'decodeMsPerToken'),
    excludedIds: new Set([source.id]),
    avoidedZone: null,
    preferredZone: source.availabilityZone,
    draw: randomness.readFraction(),
  });
  return status && !status.isSuspected ? status.entry : null;
};

/**
 * Stops a run and copies the remainder of its KV cache. The run stops at once, while the remainder
 * may queue behind other copies: on timeout the first copy is enough to continue from.
 */
const copyRemainder = (
  { context, dependencies }: StreamRun,
  { server }: StreamAttempt,
  holder: ServerEntry,
  firstCopy: KvCopy,
): Promise<Result<KvCopy, CopyError>> =>
  new Promise((resolve) => {
    const { client, clock, log } = dependencies;
    const { requestId } = context.request;
    const cancelTimer = clock.startTimer(FINAL_COPY_TIMEOUT_MS, () => {
      log.info('rest of a move overdue', { requestId, server: server.id, holder: holder.id });
      resolve(ok(firstCopy));
    });
    client.copyRun(server, requestId, holder, { stops: true }).then((remainder) => {
      cancelTimer();
      resolve(remainder);
    });
  });

const readOutcome = (finalCopy: Result<KvCopy, CopyError>): MigrationOutcome => {
  if (finalCopy.isOk() || finalCopy.error.kept) return 'stopped';
  return finalCopy.error.isUnknownRun ? 'unknown-run' : 'unclear';
};

/**
 * Migrates a run to another server, where it gets a backup again. The KV cache is copied while the
 * run continues; then the run is stopped, the remainder is copied, and the next attempt continues
 * from the copy.
 *
 * Without migration a run may outlive its copy when availability zones fail one after the other,
 * and processing the prompt again takes longer than a reader waits for the next event.
 *
 * @returns whether the run was stopped
 */
export const migrateRun = async (run: StreamRun, attempt: StreamAttempt): Promise<boolean> => {
  const { client, clock, directory, lender } = run.dependencies;
  const { request } = run.context;
  const holder = chooseHolder(run, attempt.server);
  const report = holder && (await client.readReport(holder));
  // If memory is scarce, a copy would evict another run, whose prompt must then be processed again.
  if (!holder || !report || !hasMemoryForCopy(report, countNeededKvTokens(request))) return false;
  // Acquired before the run is stopped: without a retry the stopped run would stall.
  const options = { share: MIGRATION_RETRY_FRACTION };
  const retry = await lender.acquireOwnRetry(run.context.service, options);
  if (!retry) return false;
  const lostHolder = run.copy?.holders[0] ?? '';
  const startedAtMs = clock.readMonotonicMs();
  let stoppedAtMs = Infinity;
  const logOutcome = (outcome: string): void => {
    const nowMs = clock.readMonotonicMs();
    logDecision(
      run.dependencies,
      run.context,
      'run moved',
      {
        holder: holder.id,
        holderZone: holder.availabilityZone,
        lostHolder,
        outcome,
        tookMs: Math.round(nowMs - startedAtMs),
        stoppedMs: Math.round(Math.max(0, nowMs - stoppedAtMs)),
      },
      attempt.server,
    );
  };
  const isCurrent = (): boolean => [...run.attempts.values()].includes(attempt);

  const firstCopy = await client.copyRun(attempt.server, request.requestId, holder, {
    stops: false,
  });
  if (firstCopy.isErr() || !isCurrent()) retry.release();
  if (firstCopy.isErr()) {
    logOutcome(firstCopy.error.reason);
    return false;
  }
  if (!isCurrent()) {
    client.dropCopy(attempt.server, firstCopy.value.handle);
    return false;
  }
  stoppedAtMs = clock.readMonotonicMs();
  const remainder = copyRemainder(run, attempt, holder, firstCopy.value);
  Object.assign(attempt, { migration: remainder.then(readOutcome) });
  const finalCopy = await remainder;
  if (!isCurrent()) {
    retry.release();
    logOutcome('attempt replaced');
    return true;
  }
  const copy = finalCopy.isOk() ? finalCopy.value : finalCopy.error.kept;
  logOutcome(finalCopy.isOk() ? 'moved' : finalCopy.error.reason);
  if (!copy) {
    retry.release();
    return false;
  }
  run.copy?.release();
  // The source server keeps the KV cache of a run that it stopped.
  const holders: HeldCopy['holders'] = finalCopy.isOk()
    ? [holder.id, attempt.server.id]
    : [attempt.server.id];
  Object.assign(run, {
    reservedRetry: retry,
    copy: {
      ...copy,
      holders,
      hasData: true,
      release: directory.addCopy(holders[0]),
    },
  });
  return true;
};
