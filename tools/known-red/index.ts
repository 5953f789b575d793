export { compareFailures, type FailureVerdict } from './compareFailures';
export { listTapFailures } from './listTapFailures';
export { readKnownRed, type KnownRed } from './readKnownRed';
