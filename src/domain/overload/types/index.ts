export { MemoryUse, type MemoryLimits } from './MemoryUse';
export { OverloadCause } from './OverloadCause';
