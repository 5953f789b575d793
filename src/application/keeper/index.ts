export { createKeeper } from './createKeeper';
export type { Keeper, KeeperDependencies } from './createKeeper';
