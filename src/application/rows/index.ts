export {
  createRowFollower,
  type RowFollower,
  type RowFollowerDependencies,
  type RowsInfo,
} from './createRowFollower';
