import { ok, type Result } from 'neverthrow';
import {
  chooseLeastLoadedServer,
  countNeededKvTokens,
  hasMemoryForCopy,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { CopyError, KvCopy } from '../../../ports';
import type { HeldCopy, StreamAttempt, StreamRun } from '../../types';
import { logDecision } from '../logDecision';

/**
 * Time for the rest of a copy once the run has stopped. It takes 10 ms, and up to 390 ms behind
 * others; what it lacks is read by the next server at eight tokens a millisecond.
 */
const REST_MS = 60;

/** Part of the repeats that moves may use: the rest is for runs that are lost. */
const MOVES_PART = 0.6;

const chooseHolder = (run: StreamRun, source: ServerEntry): ServerEntry | null => {
  const { limits, randomness } = run.dependencies;
  // Where the limit leaves nothing to it, a run that was stopped would stand still.
  const holders = run.context.servers
    .listHolders(source)
    .filter(({ entry }) => limits.readLimitPerS(entry.id) === null);
  const status = chooseLeastLoadedServer(holders, {
    excludedIds: new Set([source.id]),
    avoidedZone: null,
    preferredZone: source.availabilityZone,
    draw: randomness.readFraction(),
  });
  return status && !status.isSuspected ? status.entry : null;
};

/**
 * Stops a run and copies what is new of it. The run stops at once, while the rest may queue behind
 * other copies: the copy that is there already is enough to go on from.
 */
const copyRest = (
  { context, dependencies }: StreamRun,
  { server }: StreamAttempt,
  holder: ServerEntry,
  first: KvCopy,
): Promise<Result<KvCopy, CopyError>> =>
  new Promise((resolve) => {
    const { client, clock, log } = dependencies;
    const { requestId } = context.request;
    const cancelTimer = clock.startTimer(REST_MS, () => {
      log.info('rest of a move overdue', { requestId, server: server.id, holder: holder.id });
      resolve(ok(first));
    });
    client.copyRun(server, requestId, holder, { stops: true }).then((rest) => {
      cancelTimer();
      resolve(rest);
    });
  });

/**
 * Moves a run to another server, where it gets a copy again: its memory is copied while it goes on,
 * then it is stopped, the rest is copied, and the next attempt goes on from there.
 *
 * Without this a run outlives its copy: availability zones are lost one after the other, and a
 * prompt that must be read anew takes longer than a reader waits for the next event.
 *
 * @returns whether the run was stopped
 */
export const migrateRun = async (run: StreamRun, attempt: StreamAttempt): Promise<boolean> => {
  const { client, clock, directory, retries } = run.dependencies;
  const { request } = run.context;
  const holder = chooseHolder(run, attempt.server);
  const report = holder && (await client.readReport(holder));
  // Where memory is scarce a copy takes the place of a run, which is read again for it.
  if (!holder || !report || !hasMemoryForCopy(report, countNeededKvTokens(request))) return false;
  // Before the run is stopped: one that may not be sent again would stand still.
  if (!retries.acquireRetry(run.context.service, { part: MOVES_PART })) return false;
  const lostHolder = run.copy?.holders[0] ?? '';
  const startedAtMs = clock.readMonotonicMs();
  let stoppedAtMs = Infinity;
  const record = (outcome: string): void => {
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

  const first = await client.copyRun(attempt.server, request.requestId, holder, { stops: false });
  if (first.isErr() || !isCurrent()) retries.releaseRetry(run.context.service);
  if (first.isErr()) {
    record(first.error.reason);
    return false;
  }
  if (!isCurrent()) {
    client.dropCopy(attempt.server, first.value.handle);
    return false;
  }
  Object.assign(attempt, { isMigrating: true });
  stoppedAtMs = clock.readMonotonicMs();
  const last = await copyRest(run, attempt, holder, first.value);
  if (!isCurrent()) {
    record('given up meanwhile');
    return true;
  }
  const copy = last.isOk() ? last.value : last.error.kept;
  record(last.isOk() ? 'moved' : last.error.reason);
  if (!copy) {
    retries.releaseRetry(run.context.service);
    return false;
  }
  run.copy?.release();
  // The source keeps the memory of a run that it stopped.
  const holders: HeldCopy['holders'] = last.isOk()
    ? [holder.id, attempt.server.id]
    : [attempt.server.id];
  Object.assign(run, {
    hasReservedRetry: true,
    copy: {
      ...copy,
      holders,
      hasData: true,
      release: directory.addCopy(holders[0]),
    },
  });
  return true;
};
