import type { DeliveredDecision, ScheduleRequest, ScheduleResponse } from './ScheduleRequest';

/** Schedules the streams of one service for all VMs. */
export interface StreamScheduler {
  /** Merges what a VM tells and decides on its demands. */
  handleRequest(request: ScheduleRequest): ScheduleResponse;
  countWaiting(): number;
  stop(): void;
}

/**
 * Delivers a decision on a waiting demand to its VM.
 *
 * @returns false if the VM no longer needs it or does not respond in time
 */
export type DeliverDecision = (address: string, delivered: DeliveredDecision) => Promise<boolean>;
