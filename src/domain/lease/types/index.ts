export type { HeldLease } from './HeldLease';
export type { LeaseRow } from './LeaseRow';
export type { LeaseSighting } from './LeaseSighting';
