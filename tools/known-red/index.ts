export { compareFailures, type FailureComparison } from './compareFailures';
export { listTapFailures } from './listTapFailures';
export { readKnownFailures, type KnownFailure } from './readKnownFailures';
