import type { PaceSample } from '../../../domain/paces';
import type { ScheduleDecision, StreamDemand } from '../../../domain/scheduling';

/** A VM that forwards streams. */
export interface SchedulingVm {
  readonly vm: string;
  /** IP:PORT of its peer address. */
  readonly address: string;
  readonly availabilityZone: string;
}

/** A run that began at a server without a grant, for example from a copy. */
export interface StartedRun {
  /** Id of the server. */
  readonly server: string;
  /** KV memory that the run needs until its end, in tokens. */
  readonly kvTokens: number;
}

/** A run that ended, complete or not. */
export interface EndedRun {
  /** Id of the server. */
  readonly server: string;
  /** KV memory that the run needed until its end, in tokens. */
  readonly kvTokens: number;
  /** Id of the server that held the copy; null for none. */
  readonly backup: string | null;
  /** Time since the run began at this server, in milliseconds. */
  readonly ranMs: number;
  readonly samples: readonly PaceSample[];
}

/** What a VM tells the scheduler of a service. May be lost or repeated as a whole. */
export interface ScheduleRequest {
  readonly sender: SchedulingVm;
  readonly service: string;
  /** New and waiting demands. */
  readonly demands: readonly StreamDemand[];
  /** Tickets of demands that are no longer needed, granted or not. */
  readonly cancelledTickets: readonly string[];
  readonly startedRuns: readonly StartedRun[];
  readonly endedRuns: readonly EndedRun[];
}

/** The scheduler's response. */
export interface ScheduleResponse {
  /** False if the receiver does not schedule: it is shutting down, or knows no such service. */
  readonly isOwner: boolean;
  /** One for each demand of the request. */
  readonly decisions: readonly ScheduleDecision[];
}

/** A decision on a waiting demand, sent by the scheduler. */
export interface DeliveredDecision {
  readonly service: string;
  readonly decision: ScheduleDecision;
}
