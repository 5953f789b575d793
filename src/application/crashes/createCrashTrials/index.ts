import {
  computeTrialPauseMs,
  countNeededCrashes,
  listTriedServers,
  mergeQuarantine,
} from '../../../domain/crashes';
import { findStorableQuarantine } from '../_lib/findStorableQuarantine';
import { readQuarantineRow } from '../_lib/readQuarantineRow';
import { writeQuarantineRow } from '../_lib/writeQuarantineRow';
import type { Clock, EventLog, RowSource, RowWriter } from '../../ports';
import type { CrashHistory } from '../createCrashHistory';
import type { CrashCause } from '../types';

/** Dependencies of the trials. */
export interface CrashTrialsDependencies {
  /** Table of the quarantines. */
  readonly table: string;
  readonly store: Pick<RowSource, 'readRows'> & RowWriter;
  readonly crashes: Pick<CrashHistory, 'findQuarantine'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Decides over all VMs which request is sent as a trial of a prompt part that is held responsible. */
export interface CrashTrials {
  /** Resolves with true if the request may be sent as the trial that is due. */
  acquireTrial(cause: CrashCause): Promise<boolean>;
}

/** Crashes of a responsible part after which the first trial follows soonest. */
const NEEDED_CRASHES = countNeededCrashes({ isPart: true, hasAnswer: false });

/** Computes the least time between two trials, with crashes of which this VM does not know. */
const computePauseMs = (
  { crashes, kind, trialPauseMs }: CrashCause,
  untoldCrashes: number,
): number => {
  if (kind !== 'part') return trialPauseMs;
  const known = { crashes: crashes + untoldCrashes, neededCrashes: NEEDED_CRASHES };
  const pauseMs = computeTrialPauseMs(known);
  return Math.max(trialPauseMs, pauseMs);
};

/**
 * Creates the trials of this VM.
 *
 * The quarantine's row in the store holds the time of the last trial. It is changed only if no other
 * VM has changed it since it was read, so that one VM gets each trial. A trial whose outcome nobody
 * told counts as a crash. Without the store there are no trials.
 */
export const createCrashTrials = ({
  clock,
  crashes,
  log,
  store,
  table,
}: CrashTrialsDependencies): CrashTrials => {
  /** By fingerprint: until then this VM does not ask again. */
  const pausedUntilMs = new Map<string, number>();

  const acquire = async (cause: CrashCause): Promise<string | null> => {
    const [fingerprint] = cause.fingerprints;
    const read = await readQuarantineRow({ store, table }, fingerprint);
    if (read.isErr()) return read.error;
    const { quarantine: stored, storeMs, version } = read.value;
    if (storeMs === undefined) return 'the store states no time';
    const known = findStorableQuarantine({ clock, crashes }, fingerprint);
    if (!known) return null;
    const servers = listTriedServers(mergeQuarantine(stored, known));
    const untold = servers.filter((server) => !known.servers.includes(server)).length;
    // A store that was restored from a backup may be behind the time of the trial.
    const sinceMs = Math.abs(storeMs - (stored?.trialStoreMs ?? -Infinity));
    if (sinceMs < computePauseMs(cause, untold)) return 'another request is the trial';
    const row = { ...known, servers, trialStoreMs: storeMs, trialServers: servers.length };
    return writeQuarantineRow({ store, table }, row, version);
  };

  return {
    acquireTrial: async (cause) => {
      const { remainingMs, trialPauseMs } = cause;
      const [fingerprint] = cause.fingerprints;
      const nowMs = clock.readMonotonicMs();
      if (remainingMs > 0 || nowMs < (pausedUntilMs.get(fingerprint) ?? -Infinity)) return false;
      pausedUntilMs.set(fingerprint, nowMs + trialPauseMs);
      const reason = await acquire(cause);
      log.info(reason === null ? 'quarantine trial granted' : 'quarantine trial not granted', {
        fingerprint,
        pauseMs: trialPauseMs,
        ...(reason === null ? {} : { reason }),
      });
      return reason === null;
    },
  };
};
