export { startKeeper } from './startKeeper';
export { KeeperSettingsSchema } from './types';
export type { KeeperOverrides, KeeperProcess, KeeperSettings, KeeperStartError } from './types';
