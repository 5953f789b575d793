export { buildDisabledScheduling } from './buildDisabledScheduling';
export { buildWireConfiguration, buildWireEntry, TEST_KEY } from './buildWireConfiguration';
export { buildGatewaySettings } from './buildGatewaySettings';
export { createBrittleServer, type BrittleServer } from './createBrittleServer';
export { createStandInServer, formatStandInEvent } from './createStandInServer';
export type { ReceivedRequest, StandInServer } from './createStandInServer';
export { createStandInStore } from './createStandInStore';
export type { StandInStore, StoreMode } from './createStandInStore';
export { createVirtualStore, type VirtualStore } from './createVirtualStore';
