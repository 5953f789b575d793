export { createShareLease, type ShareLease } from './createShareLease';
