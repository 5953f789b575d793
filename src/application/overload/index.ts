export {
  createConnectionGate,
  type ConnectionGate,
  type ConnectionGateDependencies,
} from './createConnectionGate';
export {
  createLoopDelayMonitor,
  type LoopDelayDependencies,
  type LoopDelayMonitor,
} from './createLoopDelayMonitor';
export {
  createMemoryBudget,
  type HeldBytes,
  type MemoryBudget,
  type MemoryBudgetDependencies,
} from './createMemoryBudget';
