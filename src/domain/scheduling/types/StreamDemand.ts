import type { RequestClass } from './RequestClass';

/** A stream that asks the scheduler of its service for a server. All times are durations. */
export interface StreamDemand {
  /** Unique among the demands of all VMs; the same in each renewal. */
  readonly ticket: string;
  readonly requestClass: RequestClass;
  /** Empty if the route needs no API key. */
  readonly workspace: string;
  readonly promptTokens: number;
  /** Highest number of output tokens. */
  readonly outputTokens: number;
  /** Time since the demand was first sent, in milliseconds. */
  readonly waitedMs: number;
  /** Time left in which the first event is within the goal; negative once it is not. */
  readonly goalLeftMs: number;
  /** Time left until the caller's deadline. */
  readonly leftMs: number;
  /** True if the caller was refused before, and will not retry again. */
  readonly isReturning: boolean;
  /** True if the stream lost its server and has to be prefilled again. */
  readonly isResumed: boolean;
  /** Availability zone of the VM that forwards the stream. */
  readonly availabilityZone: string;
  /** Whether a second server holds a copy of the run's KV cache. */
  readonly needsBackup: boolean;
  /** Servers that failed the stream or that the VM does not consider usable. */
  readonly excludedServers: readonly string[];
  /** Software versions that a rollout allows; empty if all are. */
  readonly versions: readonly string[];
}
