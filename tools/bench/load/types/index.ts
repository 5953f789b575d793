export type { Arrival } from './Arrival';
export type { BenchReport, GoalResult } from './BenchReport';
export type { DeploymentShape, ServerGroup } from './DeploymentShape';
export { PhaseFault } from './Phase';
export type { Phase } from './Phase';
export type { ClassTimes, PhaseMetrics } from './PhaseMetrics';
export type { RequestRecord } from './RequestRecord';
