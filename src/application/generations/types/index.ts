export type { ClaimedGeneration, ClaimedOutcome, ClaimedRequest } from './ClaimedGeneration';
export type { AttemptHandle } from './AttemptHandle';
export type { GenerationRun } from './GenerationRun';
export type { GenerationsContext } from './GenerationsContext';
export type { GenerationsDependencies } from './GenerationsDependencies';
export type { ClaimWriterReference, RunContext } from './RunContext';
export type { TokenLog } from './TokenLog';
