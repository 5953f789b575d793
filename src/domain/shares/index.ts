export { allotShare, computeEvenParts } from './allotShare';
export type { Allotment, AllotmentOptions } from './allotShare';
export { computeReachedFraction } from './computeReachedFraction';
export { decodeShareLedger } from './decodeShareLedger';
export { encodeShareLedger } from './encodeShareLedger';
export type { ShareHolding, ShareLedger } from './types';
