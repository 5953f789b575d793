export { BreakKind } from './BreakKind';
export type { BenchCaller, CallerRequest, CallerResult } from './BenchCaller';
export type { LatencySummary, ResumeReport, ScenarioReport } from './ResumeReport';
