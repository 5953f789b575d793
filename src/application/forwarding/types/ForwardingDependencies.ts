import type { Clock, EventLog, ForwardClient, Randomness } from '../../ports';
import type { FleetLoad } from '../../fleet-load';
import type { ServerPaths } from '../../paths';
import type { ServerPaces } from '../../paces';
import type { SchedulerClient } from '../../scheduling';
import type { ServerLimits, ServerPermits } from '../../limits';
import type { LoopDelayMonitor } from '../../overload';
import type { RolloutRegistry } from '../../rollouts';
import type { CrashHistory, CrashProbe, CrashTrials, QuarantineRows } from '../../crashes';
import type { RetryBudget } from '../createRetryBudget';
import type { RetryLender } from '../createRetryLender';
import type { UnreadAttempts } from '../createUnreadAttempts';
import type { RouteTableHolder } from '../createRouteTableHolder';
import type { ServerDirectory } from './ServerDirectory';
import type { ForwardingMeter } from './ForwardingMeter';

/** Dependencies of forwarding. */
export interface ForwardingDependencies {
  readonly availabilityZone: string;
  readonly client: ForwardClient;
  readonly clock: Clock;
  /** Tracks which requests, and which prompt parts, crash the servers that run them. */
  readonly crashes: CrashHistory;
  readonly crashProbe: CrashProbe;
  readonly crashTrials: CrashTrials;
  readonly quarantineRows: Pick<QuarantineRows, 'isRead'>;
  readonly directory: ServerDirectory;
  readonly fleetLoad: Pick<FleetLoad, 'readLoad' | 'recordArrival'>;
  readonly limits: ServerLimits;
  readonly loopDelay: Pick<LoopDelayMonitor, 'readDelayMs' | 'refusesStream' | 'startRequest'>;
  readonly paths: Pick<ServerPaths, 'recordFailure'>;
  readonly permits: ServerPermits;
  readonly log: EventLog;
  readonly meter: ForwardingMeter;
  readonly randomness: Randomness;
  readonly retries: RetryBudget;
  readonly rollouts: Pick<RolloutRegistry, 'openRequest'>;
  readonly scheduler: SchedulerClient;
  readonly lender: RetryLender;
  readonly serverPaces: ServerPaces;
  readonly tables: RouteTableHolder;
  /** Attempts that servers may read later. */
  readonly unread: UnreadAttempts;
  /** Tells other VMs that a prompt was just sent to a server. */
  readonly tellPrompt: (server: string, tokens: number) => void;
  /**
   * Reserves a server for a prompt, in fleets that are too large to broadcast every prompt.
   * Resolves with the prompt tokens that other VMs reserved a moment ago.
   */
  readonly reservePrompt: (server: string, tokens: number) => Promise<number>;
}
