export { createStandInPlainService } from './createStandInPlainService';
export type { StandInPlainServiceOptions } from './createStandInPlainService';
export { PlainFault } from './types';
export type { ExecutedCall, StandInPlainService } from './types';
