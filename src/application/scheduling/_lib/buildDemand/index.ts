import type { StreamDemand } from '../../../../domain/scheduling';
import type { SchedulingOutcome, SchedulingVm, StreamDemandOptions } from '../../types';

/** A demand of this VM until its outcome is known, and its grant. */
export interface DemandEntry {
  readonly ticket: string;
  readonly service: string;
  readonly readDemand: () => StreamDemandOptions;
  readonly startedAtMs: number;
  readonly close: (outcome: SchedulingOutcome) => void;
  /** The demand as it was last read. */
  demand: StreamDemandOptions | null;
  /** True once the scheduler has told the stream to wait. */
  isWaiting: boolean;
  /** The granted server, and the VM that granted it; null for a delivered decision. */
  grant: { readonly server: string; readonly scheduler: SchedulingVm | null } | null;
}

/** Reads the demand of an entry anew and builds what is sent of it. */
export const buildDemand = (
  entry: DemandEntry,
  { availabilityZone, nowMs }: { readonly availabilityZone: string; readonly nowMs: number },
): StreamDemand => {
  const options = entry.readDemand();
  Object.assign(entry, { demand: options });
  const { deadlineAtMs, goalAtMs, heldBytes, requestId, ...demand } = options;
  return {
    ...demand,
    ticket: entry.ticket,
    availabilityZone,
    waitedMs: nowMs - entry.startedAtMs,
    goalLeftMs: goalAtMs - nowMs,
    leftMs: deadlineAtMs - nowMs,
  };
};
