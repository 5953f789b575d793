export { createLimitOwner, type LimitOwner } from './createLimitOwner';
export { createPermits, type Permit, type Permits } from './createPermits';
export { createServerLimits, type LimitStatement, type ServerLimits } from './createServerLimits';
export type { LimitPeer, PassedLimits, PermitRequest } from './types';
