export {
  computeAdmittedRate,
  UNLIMITED_RATE,
  type AdmittedRate,
  type AdmittedSample,
} from './computeAdmittedRate';
export { computeMemoryLimits, type MemorySizes } from './computeMemoryLimits';
export { computeRefusedShare, type LoopDelay } from './computeRefusedShare';
export { findMemoryUse } from './findMemoryUse';
export { findSmallestGoalMs } from './findSmallestGoalMs';
export * from './types';
