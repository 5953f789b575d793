export { createClaims } from './createClaims';
export type { ClaimsDependencies } from './createClaims';
