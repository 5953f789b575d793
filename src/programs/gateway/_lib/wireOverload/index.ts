import type { RouteTableHolder } from '../../../../application/forwarding';
import {
  createLoopDelayMonitor,
  createMemoryBudget,
  type LoopDelayMonitor,
  type MemoryBudget,
} from '../../../../application/overload';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { computeMemoryLimits, findSmallestGoalMs } from '../../../../domain/overload';

/** Dependencies of the bounds on memory and processor. */
export interface OverloadWiring {
  readonly settings: Pick<GatewaySettings, 'cores' | 'memoryBytes'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
}

/** Wires the bounds on memory and processor that the settings call for. */
export const wireOverload = ({
  clock,
  log,
  randomness,
  settings: { cores, memoryBytes },
  tables,
}: OverloadWiring): { readonly loopDelay: LoopDelayMonitor; readonly memory: MemoryBudget } => ({
  loopDelay: createLoopDelayMonitor({
    clock,
    log,
    randomness,
    readGoalMs: () => findSmallestGoalMs(tables.readCurrent()),
    isEnabled: () => cores > 0,
  }),
  memory: createMemoryBudget({
    log,
    limits:
      memoryBytes === null
        ? null
        : computeMemoryLimits({ memoryBytes, baseBytes: process.memoryUsage.rss() }),
  }),
});
