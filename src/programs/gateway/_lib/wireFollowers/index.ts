import type {
  QuarantineRows,
  RouteTableHolder,
  ServerDirectory,
} from '../../../../application/forwarding';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { RolloutRegistry } from '../../../../application/rollouts';
import {
  createFollowerPair,
  type FollowerPair,
  type RowFollower,
} from '../../../../application/rows';
import {
  computeBatchDelayMs,
  computeLongPollMs,
  computeStalenessLimits,
  type GatewayBounds,
  type StalenessLimits,
} from '../../../../domain/forwarding';
import { TABLES, type StoreClient } from '../../../../../platform';

/** Dependencies of the followers of the store's tables. */
export interface FollowerPartsDependencies {
  readonly store: StoreClient;
  readonly bounds: GatewayBounds;
  readonly tables: Pick<RouteTableHolder, 'applyRows'>;
  readonly rollouts: Pick<RolloutRegistry, 'applyRows'>;
  readonly quarantineRows: Pick<QuarantineRows, 'startRewrite'>;
  readonly directory: Pick<ServerDirectory, 'applyRows'>;
  readonly handleUpdate: () => void;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
}

/** Followers of the store's tables. */
export interface FollowerParts {
  readonly pair: FollowerPair;
  readonly followers: ReadonlyMap<string, RowFollower>;
  readonly stalenessLimits: StalenessLimits | null;
}

/** Wires the followers of the store's tables. */
export const wireFollowers = ({
  bounds,
  clock,
  directory,
  handleUpdate,
  log,
  quarantineRows,
  randomness,
  rollouts,
  store,
  tables,
}: FollowerPartsDependencies): FollowerParts => {
  const stalenessLimits = computeStalenessLimits(bounds);
  const pair = createFollowerPair({
    store,
    clock,
    randomness,
    log,
    shortWaitMs: computeLongPollMs(bounds),
    freshMs: stalenessLimits?.freshMs ?? Infinity,
    staleMs: stalenessLimits?.staleMs ?? Infinity,
    burstPauseMs: computeBatchDelayMs(bounds),
    handleUpdate,
    // The configuration is the primary table: it changes less often, and it always exists.
    primary: {
      table: TABLES.operator,
      handleRows: (rows) => {
        tables.applyRows(rows);
        rollouts.applyRows(rows);
      },
      handleRestored: quarantineRows.startRewrite,
    },
    secondary: { table: TABLES.servers, handleRows: directory.applyRows },
  });
  const followers = new Map([
    [TABLES.operator, pair.primary],
    [TABLES.servers, pair.secondary],
  ]);
  return { pair, followers, stalenessLimits };
};
