import type { QuarantineRows } from '../../../../application/crashes';
import type { RouteTableHolder, ServerDirectory } from '../../../../application/forwarding';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { RolloutRegistry } from '../../../../application/rollouts';
import { createFollowerPair, type RowFollower } from '../../../../application/rows';
import {
  computeBatchDelayMs,
  computeStalenessLimits,
  computeStoreTimes,
  type GatewaySettings,
  type StalenessLimits,
} from '../../../../domain/forwarding';
import { TABLES, type StoreClient } from '../../../../../platform';

/** Dependencies of the followers of the store's tables. */
export interface FollowersDependencies {
  readonly settings: Pick<GatewaySettings, 'bounds'>;
  readonly store: StoreClient;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly log: EventLog;
  readonly tables: Pick<RouteTableHolder, 'applyRows'>;
  readonly rollouts: Pick<RolloutRegistry, 'applyRows'>;
  readonly directory: Pick<ServerDirectory, 'applyRows'>;
  readonly quarantineRows: Pick<QuarantineRows, 'startRewrite'>;
  /** Called when one of the tables changes, or is known to be newer. */
  readonly handleUpdate: () => void;
  /** Called when this VM's calls to the store begin to fail. */
  readonly handleOutageStart: () => void;
}

/** Followers of the configuration and of the servers. */
export interface Followers {
  readonly pair: ReturnType<typeof createFollowerPair>;
  readonly followers: ReadonlyMap<string, RowFollower>;
  readonly stalenessLimits: StalenessLimits | null;
}

/** Wires the followers of the store's tables. */
export const wireFollowers = ({
  clock,
  directory,
  handleOutageStart,
  handleUpdate,
  log,
  quarantineRows,
  randomness,
  rollouts,
  settings: { bounds },
  store,
  tables,
}: FollowersDependencies): Followers => {
  const stalenessLimits = computeStalenessLimits(bounds);
  const times = computeStoreTimes(bounds);
  // The configuration is the primary table: it changes less often, and it always exists.
  const pair = createFollowerPair({
    store,
    clock,
    randomness,
    log,
    shortWaitMs: times.waitMs,
    times,
    freshMs: stalenessLimits?.freshMs ?? times.claimMs - times.overdueMs,
    staleMs: stalenessLimits?.staleMs ?? Infinity,
    burstPauseMs: computeBatchDelayMs(bounds),
    handleUpdate,
    handleOutageStart,
    primary: {
      table: TABLES.operator,
      handleRows: (rows, origin) => {
        tables.applyRows(rows, origin);
        rollouts.applyRows(rows);
      },
      handleRestored: quarantineRows.startRewrite,
    },
    secondary: { table: TABLES.servers, handleRows: directory.applyRows },
  });
  return {
    pair,
    followers: new Map([
      [TABLES.operator, pair.primary],
      [TABLES.servers, pair.secondary],
    ]),
    stalenessLimits,
  };
};
