import type { Result } from 'neverthrow';
import {
  decodeConfigurationRow,
  encodeConfigurationRow,
  type ConfigurationRow,
} from '../../../domain/configuration';
import type {
  Clock,
  ConfigurationView,
  EncodedConfiguration,
  EventLog,
  PeerConfigurations,
  Randomness,
  TableStore,
} from '../../ports';
import { readNewestRow } from '../readNewestRow';
import { readVersionRow } from '../readVersionRow';
import type { ConfigurationStoreError } from '../types';

/** Mean time between two polls of the table, in milliseconds. */
export const POLL_INTERVAL_MS = 1_000;
/** Fraction of the interval by which polls vary, so that VMs do not poll all at once. */
const POLL_JITTER = 0.2;

/** Dependencies of the configuration follower. */
export interface ConfigurationFollowerDependencies {
  readonly table: TableStore;
  readonly peers: PeerConfigurations;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Follows the accepted configuration. */
export interface ConfigurationFollower extends ConfigurationView {
  start(): void;
  stop(): void;
  /** Version in force at this VM, 0 if none. */
  readVersion(): number;
  /** Records the version of a peer; a version higher than this VM's is read at once. */
  recordPeerVersion(
    version: number,
    peer: { readonly vm: string; readonly peerAddress: string },
  ): void;
  /** Monotonic time at which this VM's newest successful read of the table began, or null. */
  readTableReadAtMs(): number | null;
  /** How long this VM has been behind a peer's version, in milliseconds; 0 if it is not. */
  readBehindMs(): number;
  /** Encodes the configuration in force for a peer; null if not above version `newerThan`. */
  readEncoded(newerThan: number): EncodedConfiguration | null;
}

/** The version in force at a peer. */
interface PeerVersion {
  readonly version: number;
  readonly vm: string;
  readonly peerAddress: string;
}

/**
 * Creates the configuration follower.
 *
 * The follower polls for the row of the next version, which costs one small read while there is
 * none. The version never goes down: an older row, from a lagging peer or a stale read, changes
 * nothing. While the table does not answer, newer versions are read from peers: any version in
 * force at a VM was accepted.
 */
export function createConfigurationFollower(
  deps: ConfigurationFollowerDependencies,
): ConfigurationFollower {
  const { table, peers, clock, randomness, log } = deps;
  const listeners = new Set<(current: ConfigurationRow) => void>();
  let current: ConfigurationRow | null = null;
  let tableReadAtMs: number | null = null;
  let peerVersion: PeerVersion | null = null;
  let behindSinceMs: number | null = null;
  let highestPeerVersion = 0;
  let isRunning = false;
  let isPolling = false;
  let isPollWanted = false;
  let cancelTimer = (): void => undefined;

  const readVersion = (): number => current?.version ?? 0;

  const applyRow = (row: ConfigurationRow | null, source: string): boolean => {
    if (row === null || row.version <= readVersion()) {
      return false;
    }
    current = row;
    if (row.version >= highestPeerVersion) {
      behindSinceMs = null;
    }
    log.info('configuration in force', { version: row.version, source });
    listeners.forEach((listener) => listener(row));
    return true;
  };

  /** Reads the table once; true if there is, or may be, a version after the one in force. */
  const readTable = async (
    read: () => Promise<Result<ConfigurationRow | null, ConfigurationStoreError>>,
  ): Promise<boolean> => {
    const startedAtMs = clock.readMonotonicMs();
    const result = await read();
    if (result.isErr()) {
      const { kind, reason } = result.error;
      log.warn('configuration not read', { kind, reason, version: readVersion() });
      return kind === 'bad-configuration';
    }
    tableReadAtMs = startedAtMs;
    return applyRow(result.value, 'table');
  };

  const readNext = (): Promise<boolean> =>
    readTable(() => readVersionRow(table, readVersion() + 1));
  const readNewest = (): Promise<boolean> => readTable(() => readNewestRow(table));

  const pollTable = async (): Promise<void> => {
    if (current === null) {
      await readNewest();
      return;
    }
    // Usually there is no version after the next one. After a pause of this VM or a malformed row,
    // the newest version is read directly.
    if ((await readNext()) && (await readNext())) {
      await readNewest();
    }
  };

  const pollPeer = async (): Promise<void> => {
    const requested = peerVersion;
    peerVersion = null;
    if (requested === null || requested.version <= readVersion()) {
      return;
    }
    const read = await peers.readConfiguration(requested.peerAddress, readVersion());
    if (read.isErr()) {
      log.warn('configuration not read from peer', { vm: requested.vm, reason: read.error.reason });
      return;
    }
    if (read.value === null) {
      return;
    }
    decodeConfigurationRow(read.value.version, read.value.body).match(
      (row) => applyRow(row, requested.vm),
      ({ reason }) => {
        log.warn('configuration of peer is malformed', { vm: requested.vm, reason });
      },
    );
  };

  const poll = async (): Promise<void> => {
    if (isPolling) {
      isPollWanted = true;
      return;
    }
    isPolling = true;
    do {
      isPollWanted = false;
      await pollTable();
      await pollPeer();
    } while (isPollWanted && isRunning);
    isPolling = false;
  };

  // Polls caused by peers do not reset the timer. Otherwise all VMs would poll at the same moment
  // after each change, and none would see the next change before the interval is over.
  const scheduleNext = (delayMs: number): void => {
    cancelTimer = clock.startTimer(delayMs, () => {
      scheduleNext(POLL_INTERVAL_MS * (1 + POLL_JITTER * (2 * randomness.readFraction() - 1)));
      if (!isPolling) {
        poll();
      }
    });
  };

  return {
    readCurrent: () => current,
    addListener: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    start: () => {
      isRunning = true;
      // VMs that start together poll at different moments from the second poll on.
      scheduleNext(POLL_INTERVAL_MS * randomness.readFraction());
      poll();
    },
    stop: () => {
      isRunning = false;
      cancelTimer();
    },
    readVersion,
    recordPeerVersion: (version, { vm, peerAddress }) => {
      if (version <= readVersion() || version <= (peerVersion?.version ?? 0)) {
        return;
      }
      highestPeerVersion = Math.max(highestPeerVersion, version);
      behindSinceMs ??= clock.readMonotonicMs();
      peerVersion = { version, vm, peerAddress };
      if (isRunning) {
        poll();
      }
    },
    readTableReadAtMs: () => tableReadAtMs,
    readBehindMs: () => (behindSinceMs === null ? 0 : clock.readMonotonicMs() - behindSinceMs),
    readEncoded: (newerThan) =>
      current === null || current.version <= newerThan
        ? null
        : { version: current.version, body: encodeConfigurationRow(current) },
  };
}
