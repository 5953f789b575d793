import type { Caller } from './Caller';
import type { Decision } from './Decision';
import type { Deployment } from './Deployment';
import type { EventNotifier } from './EventNotifier';
import type { Scenario } from './Scenario';

/** What steps and expectations of one run share. */
export interface RunContext {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly notifier: EventNotifier;
  readonly callers: Map<string, Caller>;
  /** Work that the expectations wait for. */
  readonly running: Promise<void>[];
  /** True once the run is over, whatever its outcome. */
  readonly isStopped: () => boolean;
  readonly listDecisions: () => readonly Decision[];
}
