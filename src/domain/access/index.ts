export { computeKeyDigest } from './computeKeyDigest';
export { findWorkspace } from './findWorkspace';
export { checkServiceAccess } from './checkServiceAccess';
export type { AccessError } from './checkServiceAccess';
