import type { RequestClass, ScheduleDecision } from '../../../domain/scheduling';

/** Records metrics of scheduling. */
export interface SchedulingMeter {
  /** Records a decision of this VM's scheduler. */
  recordDecision(
    requestClass: RequestClass,
    workspace: string,
    kind: ScheduleDecision['kind'],
    waitedMs: number,
  ): void;
}
