export { AttemptState } from './AttemptRecord';
export type { AttemptRecord } from './AttemptRecord';
export { DEFAULT_ENGINE_SETTINGS } from './EngineSettings';
export type { EngineSettings } from './EngineSettings';
export { FaultKind } from './Fault';
export type { PlannedFault } from './Fault';
export type { StandInEngine } from './StandInEngine';
export type { StreamReader, StreamStart, TokenStream } from './TokenStream';
