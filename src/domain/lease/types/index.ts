export type { HeldLease } from './HeldLease';
export type { LeaseRow } from './LeaseRow';
export type { LeaseObservation } from './LeaseObservation';
