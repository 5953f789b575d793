import type { ScheduleDecision, StreamDemand } from '../../../domain/scheduling';
import type { DeliveredDecision, EndedRun, StartedRun } from './ScheduleRequest';

/**
 * A demand without what the client adds: the ticket and the times. `requestId` and `heldBytes` stay
 * at this VM.
 */
export interface StreamDemandOptions extends Omit<
  StreamDemand,
  'availabilityZone' | 'goalLeftMs' | 'leftMs' | 'ticket' | 'waitedMs'
> {
  readonly requestId: string;
  /** Bytes that this VM holds for the request while it waits. */
  readonly heldBytes: number;
  /** Monotonic time until which the first event is within the goal. */
  readonly goalAtMs: number;
  /** Monotonic time of the caller's deadline. */
  readonly deadlineAtMs: number;
}

/** The outcome of a demand. */
export type SchedulingOutcome =
  | (Extract<ScheduleDecision, { kind: 'send' }> & {
      readonly waitedMs: number;
      /** Releases the grant if nothing was sent. */
      readonly cancel: () => void;
    })
  | { readonly kind: 'refuse'; readonly reason: string; readonly returnMs: number }
  /** No scheduler responded: the VM decides by itself. */
  | { readonly kind: 'unknown' }
  /** `signal` aborted. */
  | { readonly kind: 'cancelled' };

/** Asks the schedulers of services for servers, and tells them what became of the runs. */
export interface SchedulerClient {
  /**
   * Waits until the scheduler decides on the stream.
   *
   * @param readDemand - reads the demand under the configuration in force; called for each renewal
   * @param signal - aborts when the stream is no longer needed
   */
  requestServer(
    service: string,
    readDemand: () => StreamDemandOptions,
    signal: AbortSignal,
  ): Promise<SchedulingOutcome>;
  recordStarted(service: string, run: StartedRun): void;
  recordEnded(service: string, run: EndedRun): void;
  /** Takes a decision on a waiting demand; false if the demand is no longer needed. */
  handleDelivery(delivered: DeliveredDecision): boolean;
  /** Refuses the waiting demands: this VM is shutting down. */
  refuseWaiting(reason: string, returnMs: number): void;
  countWaiting(): number;
  stop(): void;
}
