import type { Caller } from './Caller';
import type { Decision } from './Decision';
import type { Deployment } from './Deployment';
import type { EventBoard } from './EventBoard';
import type { Scenario } from './Scenario';

/** What steps and expectations of one run share. */
export interface RunContext {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly board: EventBoard;
  readonly callers: Map<string, Caller>;
  /** Work that the expectations wait for. */
  readonly running: Promise<void>[];
  /** True once the run is over, whatever its outcome. */
  readonly stopped: () => boolean;
  readonly listDecisions: () => readonly Decision[];
}
