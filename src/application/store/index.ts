export { createGuardedObjectStore } from './createGuardedObjectStore';
export { createGuardedTableStore } from './createGuardedTableStore';
export { createStoreGuard } from './createStoreGuard';
export type { OperationKind, StoreGuard, StoreGuardDependencies } from './createStoreGuard';
export { OBJECT_POLICY, TABLE_POLICY } from './policies';
export type { StorePolicy } from './policies';
export { startDeadline } from './startDeadline';
