export { createStandInEngine } from './createStandInEngine';
export type { StandInEngineOptions } from './createStandInEngine';
export { AttemptState, DEFAULT_ENGINE_SETTINGS, FaultKind } from './types';
export type { AttemptRecord, EngineSettings, PlannedFault, StandInEngine } from './types';
