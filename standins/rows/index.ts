export { createRowsFleet, FLEET_TABLES, type RowsVm, type RowsFleet } from './createRowsFleet';
export { createVmClock, type VmClock } from './createVmClock';
export { createVmStore, type StoreReachability, type VmStore } from './createVmStore';
