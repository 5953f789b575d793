export { createResilientObjectStore } from './createResilientObjectStore';
export { createResilientTableStore } from './createResilientTableStore';
export { createOperationRunner } from './createOperationRunner';
export type {
  OperationKind,
  OperationRunner,
  OperationRunnerDependencies,
} from './createOperationRunner';
export { OBJECT_POLICY, TABLE_POLICY } from './policies';
export type { StorePolicy } from './policies';
export { startDeadline } from './startDeadline';
