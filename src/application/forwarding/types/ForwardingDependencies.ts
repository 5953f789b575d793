import type { Clock, EventLog, ForwardClient, Randomness } from '../../ports';
import type { PermitClient, ServerLimits } from '../../limits';
import type { RolloutRegistry } from '../../rollouts';
import type { CrashProbe } from '../createCrashProbe';
import type { CrashHistory } from '../createCrashHistory';
import type { RetryBudget } from '../createRetryBudget';
import type { RetryLender } from '../createRetryLender';
import type { RouteTableHolder } from '../createRouteTableHolder';
import type { ServerDirectory } from './ServerDirectory';
import type { ForwardingMeter } from './ForwardingMeter';

/** What forwarding works with. */
export interface ForwardingDependencies {
  readonly availabilityZone: string;
  readonly client: ForwardClient;
  readonly clock: Clock;
  /** Which requests end the servers that run them. */
  readonly crashes: CrashHistory;
  readonly crashProbe: CrashProbe;
  readonly directory: ServerDirectory;
  readonly limits: ServerLimits;
  readonly permits: Pick<PermitClient, 'acquirePermit'>;
  readonly log: EventLog;
  readonly meter: ForwardingMeter;
  readonly randomness: Randomness;
  readonly retries: RetryBudget;
  readonly rollouts: Pick<RolloutRegistry, 'openRequest'>;
  readonly lender: RetryLender;
  readonly tables: RouteTableHolder;
  /** Tells other VMs of a prompt that was sent to a server just now. */
  readonly tellPrompt: (server: string, tokens: number) => void;
  /**
   * Takes a place for a prompt at a server, in fleets that are too large to tell everyone; resolves
   * with the prompt tokens that others took a place for a moment ago.
   */
  readonly reservePrompt: (server: string, tokens: number) => Promise<number>;
}
