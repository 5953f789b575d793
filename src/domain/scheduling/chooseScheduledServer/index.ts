import { hasMemoryForCopy } from '../../forwarding';
import { computeRunMs } from '../computeRunMs';
import { isServerAllowed } from '../isServerAllowed';
import { isStreamStartable, type StartOptions } from '../isStreamStartable';
import type { ScheduledServer, StreamDemand } from '../types';

/** A server for a stream, and the one that holds the copy. */
export interface ServerChoice {
  readonly server: ScheduledServer;
  readonly backup: ScheduledServer | null;
  /** Predicted time to the first event, in milliseconds. */
  readonly firstEventMs: number;
  readonly prefillMs: number;
}

/** Conditions of the choice. */
export interface ServerChoiceOptions extends StartOptions {
  /** Whether the stream may not begin without a backup. */
  readonly isBackupRequired: boolean;
  /** Whether the stream may begin beyond the limits of a server. */
  readonly ignoresLimits: boolean;
}

/** Predicted ends that differ by less are equal: the zone decides. */
const END_STEP_MS = 100;

/**
 * Highest memory use including the copy: what is promised is known. The rest is left for streams
 * that are resumed.
 */
const MAX_COPY_MEMORY_FRACTION = 0.85;

const hasRoomForCopy = (
  { kvTotalTokens, kvUsedTokens }: ScheduledServer,
  kvTokens: number,
): boolean =>
  hasMemoryForCopy({ kvTotalTokens, kvUsedTokens, waiting: 0 }, kvTokens, MAX_COPY_MEMORY_FRACTION);

const computeMemoryUse = ({ kvTotalTokens, kvUsedTokens }: ScheduledServer): number =>
  kvTotalTokens === 0 ? 0 : kvUsedTokens / kvTotalTokens;

/** Lists the server with the most free memory of each zone that can hold a copy. */
const listBackups = (
  servers: readonly ScheduledServer[],
  demand: StreamDemand,
): readonly ScheduledServer[] => {
  const bestByZone = new Map<string, ScheduledServer>();
  servers.forEach((server) => {
    const best = bestByZone.get(server.availabilityZone);
    if (best && computeMemoryUse(best) <= computeMemoryUse(server)) return;
    if (!isServerAllowed(server, demand)) return;
    if (!hasRoomForCopy(server, demand.promptTokens + demand.outputTokens)) return;
    bestByZone.set(server.availabilityZone, server);
  });
  return [...bestByZone.values()].sort((a, b) => computeMemoryUse(a) - computeMemoryUse(b));
};

/**
 * Chooses the server on which a stream ends first, and a backup in another availability zone.
 *
 * @returns null if no server can begin the stream now
 */
export const chooseScheduledServer = (
  servers: readonly ScheduledServer[],
  demand: StreamDemand,
  { goalMs, ignoresLimits, isBackupRequired, isLastChance }: ServerChoiceOptions,
): ServerChoice | null => {
  const candidates = servers.filter((server) =>
    ignoresLimits
      ? isServerAllowed(server, demand)
      : isStreamStartable(server, demand, { goalMs, isLastChance }),
  );
  if (candidates.length === 0) return null;
  const backups = demand.needsBackup ? listBackups(servers, demand) : [];
  const findBackup = (zone: string): ScheduledServer | null =>
    backups.find(({ availabilityZone }) => availabilityZone !== zone) ?? null;
  const ranked = candidates
    .filter(
      ({ availabilityZone }) =>
        !demand.needsBackup || !isBackupRequired || findBackup(availabilityZone) !== null,
    )
    .map((server) => {
      const { outputTokens, promptTokens } = demand;
      const runs = server.runs + 1;
      const duration = computeRunMs(server.pace, { outputTokens, promptTokens, runs, goalMs });
      const endMs = server.pendingPrefillMs + duration.runMs;
      return {
        server,
        prefillMs: duration.prefillMs,
        rank: Math.floor(endMs / END_STEP_MS),
        isNear: server.availabilityZone === demand.availabilityZone,
      };
    });
  const [first, ...others] = ranked;
  if (!first) return null;
  const best = others.reduce(
    (a, b) => (b.rank < a.rank || (b.rank === a.rank && b.isNear && !a.isNear) ? b : a),
    first,
  );
  const { prefillMs, server } = best;
  return {
    server,
    backup: findBackup(server.availabilityZone),
    firstEventMs: server.pendingPrefillMs + prefillMs,
    prefillMs,
  };
};
