export { createLeaseHolder, LEASE_PARTITION } from './createLeaseHolder';
export type { LeaseHolder, LeaseHolderDependencies, LeaseTimes } from './createLeaseHolder';
