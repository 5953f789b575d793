export { computeRowVersion, type RowPosition } from './computeRowVersion';
export { parseRowVersion } from './parseRowVersion';
