export type { KeeperOverrides } from './KeeperOverrides';
export type { KeeperProcess, KeeperStartError } from './KeeperProcess';
export { KeeperSettingsSchema } from './KeeperSettings';
export type { KeeperSettings } from './KeeperSettings';
