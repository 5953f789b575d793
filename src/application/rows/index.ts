export {
  createFollowerPair,
  type FollowedTable,
  type FollowerPair,
  type FollowerPairDependencies,
} from './createFollowerPair';
export { createRowFollower } from './createRowFollower';
export {
  createZoneReplication,
  type StoreReaderVm,
  type ZoneReplication,
  type ZoneReplicationDependencies,
} from './createZoneReplication';
export type {
  HeldTable,
  RowFollower,
  RowFollowerDependencies,
  RowsOrigin,
  StatementsResponse,
  StatementsRequest,
  TableStatement,
} from './types';
