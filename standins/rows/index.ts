export { createRowsFleet, FLEET_TABLES, type RowsVm, type RowsFleet } from './createRowsFleet';
