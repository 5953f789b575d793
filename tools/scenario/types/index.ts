export type { Condition } from './Condition';
export type {
  Caller,
  CallerBatch,
  CallerConnection,
  CallerEnd,
  CallerRequest,
  CallerState,
} from './Caller';
export type { Child } from './Child';
export type { Decision } from './Decision';
export type { Deployment } from './Deployment';
export type { EventNotifier } from './EventNotifier';
export type { RunContext } from './RunContext';
export type { Expectation, Scenario, ScenarioFile, Step } from './Scenario';
export { scenarioSchema } from './Scenario';
export type { ScenarioResult } from './ScenarioResult';
