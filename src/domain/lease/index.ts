export { updateLeaseObservation } from './updateLeaseObservation';
export { decodeLeaseRow } from './decodeLeaseRow';
export type { LeaseRowError } from './decodeLeaseRow';
export { encodeLeaseRow } from './encodeLeaseRow';
export { isOrderAllowed } from './isOrderAllowed';
export { isTakeoverDue } from './isTakeoverDue';
export {
  LEASE_DURATION_MS,
  ORDER_MARGIN_MS,
  LEASE_RENEWAL_INTERVAL_MS,
  TAKEOVER_MARGIN_MS,
} from './leaseTimes';
export type { HeldLease, LeaseRow, LeaseObservation } from './types';
