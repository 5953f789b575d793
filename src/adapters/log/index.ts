export { createDecisionLog } from './createDecisionLog';
export type { DecisionLogDependencies, DecisionLogOptions } from './createDecisionLog';
export { createEventLog } from './createEventLog';
export type { LineLogger } from './createEventLog';
export { createRoarrLogger } from './createRoarrLogger';
export { createLineQueue, type LineQueue } from './createLineQueue';
export { createSilentLog } from './createSilentLog';
