import type { ForwardedRequest, KeyHolder, Route } from '../../../domain/forwarding';
import type { EligibleServers } from '../../rollouts';
import type { CallerReply } from './CallerReply';
import type { StepTracker } from './StepTracker';

/** A request that is being forwarded. */
export interface ForwardContext {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly service: string;
  readonly holder: KeyHolder | null;
  /** Priority among the requests that wait at a server; 0 is the most urgent. */
  readonly priority: number;
  /** True if the caller retries after a refusal. Such a caller does not retry a second time. */
  readonly isReturning: boolean;
  /** Monotonic time of the caller's first attempt, as far as its deadline tells. */
  readonly firstArrivedAtMs: number;
  /** Servers that may serve the request. */
  readonly servers: EligibleServers;
  readonly reply: CallerReply;
  readonly steps: StepTracker;
  /** Monotonic time at which the caller, or the route, stops waiting. */
  readonly deadlineAtMs: number;
  /** Version of the configuration under which the request was admitted. */
  readonly version: number;
  /** Adds a listener that is called before this process exits; returns its removal. */
  readonly addExitListener: (listener: () => void) => () => void;
}
