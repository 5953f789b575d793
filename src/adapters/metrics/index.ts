export { createEntryMetrics } from './createEntryMetrics';
export type { EntryGauges, EntryMetrics } from './createEntryMetrics';
export { createKeeperMetrics } from './createKeeperMetrics';
export type { KeeperGauges, KeeperMetrics } from './createKeeperMetrics';
export { createGatewayMetrics } from './createGatewayMetrics';
export type { GatewayGauges, GatewayMetrics } from './createGatewayMetrics';
