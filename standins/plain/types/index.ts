export { PlainFault } from './PlainFault';
export type { ExecutedCall } from './ExecutedCall';
export type { StandInPlainService } from './StandInPlainService';
