export {
  createFollowerPair,
  type FollowedTable,
  type FollowerPair,
  type FollowerPairDependencies,
} from './createFollowerPair';
export {
  createRowFollower,
  type RowFollower,
  type RowFollowerDependencies,
  type RowsInfo,
} from './createRowFollower';
