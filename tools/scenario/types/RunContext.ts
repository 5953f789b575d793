import type { Caller } from './Caller';
import type { Decision } from './Decision';
import type { Deployment } from './Deployment';
import type { EventNotifier } from './EventNotifier';
import type { Scenario } from './Scenario';

/** State that the steps and expectations of one run share. */
export interface RunContext {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly notifier: EventNotifier;
  readonly callers: Map<string, Caller>;
  /** Requests and commands in progress; expectations are checked after all have ended. */
  readonly running: Promise<void>[];
  /** Returns true once the run has ended, whatever its outcome. */
  readonly isStopped: () => boolean;
  readonly listDecisions: () => readonly Decision[];
}
