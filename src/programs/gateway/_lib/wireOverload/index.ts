import type { RouteTableHolder } from '../../../../application/forwarding';
import {
  createConnectionGate,
  createLoopDelayMonitor,
  createMemoryBudget,
  type ConnectionGate,
  type LoopDelayMonitor,
  type MemoryBudget,
} from '../../../../application/overload';
import type { ServerPaces } from '../../../../application/paces';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { computeMemoryLimits, findSmallestGoalMs } from '../../../../domain/overload';
import { hasScheduledService } from '../../../../domain/scheduling';

/** Dependencies of the bounds on memory and processor. */
export interface OverloadWiring {
  readonly settings: Pick<GatewaySettings, 'cores' | 'memoryBytes'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
  readonly serverPaces: Pick<ServerPaces, 'isUneven'>;
}

/** Parts that bound what this VM takes on. */
export interface OverloadParts {
  readonly gate: ConnectionGate;
  readonly loopDelay: LoopDelayMonitor;
  readonly memory: MemoryBudget;
}

/** Wires the bounds on memory and processor that the settings call for. */
export const wireOverload = ({
  clock,
  log,
  randomness,
  serverPaces,
  settings: { cores, memoryBytes },
  tables,
}: OverloadWiring): OverloadParts => ({
  gate: createConnectionGate({
    clock,
    log,
    readGoalMs: () => findSmallestGoalMs(tables.readCurrent()),
  }),
  loopDelay: createLoopDelayMonitor({
    clock,
    log,
    randomness,
    readGoalMs: () => findSmallestGoalMs(tables.readCurrent()),
    isEnabled: () => {
      const table = tables.readCurrent();
      return cores > 0 && table !== null && hasScheduledService(table, serverPaces.isUneven);
    },
  }),
  memory: createMemoryBudget({
    log,
    limits:
      memoryBytes === null
        ? null
        : computeMemoryLimits({ memoryBytes, baseBytes: process.memoryUsage.rss() }),
  }),
});
