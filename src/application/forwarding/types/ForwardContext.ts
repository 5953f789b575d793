import type { ForwardedRequest, KeyHolder, Route } from '../../../domain/forwarding';
import type { EligibleServers } from '../../rollouts';
import type { CallerReply } from './CallerReply';

/** One request on its way. */
export interface ForwardContext {
  readonly request: ForwardedRequest;
  readonly route: Route;
  readonly service: string;
  readonly holder: KeyHolder | null;
  /** Rank among the requests that wait at a server; 0 is the most urgent. */
  readonly priority: number;
  /** True: the caller was refused before, and does not come back a second time. */
  readonly isReturning: boolean;
  /** Servers that it may go to. */
  readonly servers: EligibleServers;
  readonly reply: CallerReply;
  /** Monotonic time at which the caller, or the route, stops waiting. */
  readonly deadlineAtMs: number;
  /** Version of the configuration that admitted it. */
  readonly version: number;
}
