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
/** Part of the interval by which polls vary, so that many VMs do not poll at one moment. */
const POLL_JITTER = 0.2;

/** What the follower needs. */
export interface ConfigurationFollowerDependencies {
  readonly table: TableStore;
  readonly peers: PeerConfigurations;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
}

/** Keeps up with the accepted configuration. */
export interface ConfigurationFollower extends ConfigurationView {
  start(): void;
  stop(): void;
  /** Version in force at this VM, 0 if none. */
  readVersion(): number;
  /** Tells of a version that a peer has; a higher one is read at once. */
  recordPeerVersion(
    version: number,
    peer: { readonly vm: string; readonly peerAddress: string },
  ): void;
  /** Monotonic time at which this VM's newest successful read of the table began, or null. */
  readTableReadAtMs(): number | null;
  /** How long a peer has had a higher version than this VM, in milliseconds; 0 if none has. */
  readBehindMs(): number;
  /** Gives the configuration in force to a peer; null if it is not above `newerThan`. */
  readEncoded(newerThan: number): EncodedConfiguration | null;
}

/** A version that a peer has. */
interface Offer {
  readonly version: number;
  readonly vm: string;
  readonly peerAddress: string;
}

/**
 * Creates the follower of the configuration.
 *
 * It polls for the row of the next version, which costs the table one small read while there is
 * none. A version never goes down: an older row, from a lagging peer or an old read, changes
 * nothing. A version that only peers can give, since the table does not answer, is read from them:
 * what a VM has in force was accepted.
 */
export function createConfigurationFollower(
  deps: ConfigurationFollowerDependencies,
): ConfigurationFollower {
  const { table, peers, clock, randomness, log } = deps;
  const listeners = new Set<(current: ConfigurationRow) => void>();
  let current: ConfigurationRow | null = null;
  let tableReadAtMs: number | null = null;
  let offer: Offer | null = null;
  let behindSinceMs: number | null = null;
  let highestKnown = 0;
  let isRunning = false;
  let isPolling = false;
  let isPollWanted = false;
  let cancelTimer = (): void => undefined;

  const readVersion = (): number => current?.version ?? 0;

  const takeRow = (row: ConfigurationRow | null, source: string): boolean => {
    if (row === null || row.version <= readVersion()) {
      return false;
    }
    current = row;
    if (row.version >= highestKnown) {
      behindSinceMs = null;
    }
    log.info('configuration in force', { version: row.version, source });
    listeners.forEach((listener) => listener(row));
    return true;
  };

  /** Runs one read of the table; tells whether something lies beyond the version in force. */
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
    return takeRow(result.value, 'table');
  };

  const readNext = (): Promise<boolean> =>
    readTable(() => readVersionRow(table, readVersion() + 1));
  const readNewest = (): Promise<boolean> => readTable(() => readNewestRow(table));

  const pollTable = async (): Promise<void> => {
    if (current === null) {
      await readNewest();
      return;
    }
    // Usually there is nothing after the next version; a VM that was paused, or that met a
    // malformed row, goes straight to the newest.
    if ((await readNext()) && (await readNext())) {
      await readNewest();
    }
  };

  const pollPeer = async (): Promise<void> => {
    const asked = offer;
    offer = null;
    if (asked === null || asked.version <= readVersion()) {
      return;
    }
    const read = await peers.readConfiguration(asked.peerAddress, readVersion());
    if (read.isErr()) {
      log.warn('configuration not read from peer', { vm: asked.vm, reason: read.error.reason });
      return;
    }
    if (read.value === null) {
      return;
    }
    decodeConfigurationRow(read.value.version, read.value.body).match(
      (row) => takeRow(row, asked.vm),
      ({ reason }) => {
        log.warn('configuration of peer is malformed', { vm: asked.vm, reason });
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

  // Polls that peers bring about leave this rhythm alone. If they did not, all VMs would poll at one
  // moment after each change, and none would see the next change before the interval is over.
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
      if (version <= readVersion() || version <= (offer?.version ?? 0)) {
        return;
      }
      highestKnown = Math.max(highestKnown, version);
      behindSinceMs ??= clock.readMonotonicMs();
      offer = { version, vm, peerAddress };
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
