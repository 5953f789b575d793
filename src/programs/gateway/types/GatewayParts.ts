import type { ServerClient } from '../../../../platform';
import type { GatewayMetrics } from '../../../adapters/metrics';
import type { CrashHistory, QuarantineRows } from '../../../application/crashes';
import type {
  Forwarder,
  PromptReservations,
  RetryBudget,
  RetryLender,
  RouteTableHolder,
  ServerDirectory,
} from '../../../application/forwarding';
import type { FleetLoad } from '../../../application/fleet-load';
import type { Gossip } from '../../../application/gossip';
import type { LimitOwner, RoomOwner } from '../../../application/limits';
import type { ConnectionGate, LoopDelayMonitor, MemoryBudget } from '../../../application/overload';
import type { ReachAnswer, ReachQuestion, ServerPaths } from '../../../application/paths';
import type { Clock, EventLog } from '../../../application/ports';
import type { RolloutJudge } from '../../../application/rollouts';
import type { SchedulerClient, SchedulerRegistry } from '../../../application/scheduling';
import type { ShareLease } from '../../../application/shares';
import type { RowFollower, ZoneReplication } from '../../../application/rows';

/** Wired parts of a gateway. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  readonly tables: RouteTableHolder;
  readonly directory: ServerDirectory;
  readonly forwarder: Forwarder;
  readonly fleetLoad: FleetLoad;
  readonly followers: { readonly configuration: RowFollower; readonly servers: RowFollower };
  readonly gossip: Gossip;
  readonly sharing: ZoneReplication;
  readonly lender: RetryLender;
  readonly retries: Pick<RetryBudget, 'listUse'>;
  readonly share: Pick<ShareLease, 'start'>;
  readonly limitOwner: LimitOwner;
  readonly roomOwner: RoomOwner;
  readonly gate: ConnectionGate;
  readonly loopDelay: LoopDelayMonitor;
  readonly memory: MemoryBudget;
  readonly crashes: Pick<CrashHistory, 'countResponsibleParts'>;
  readonly quarantineRows: QuarantineRows;
  readonly paths: ServerPaths;
  /** Finds out which of these servers this VM reaches. */
  readonly probeReach: (question: ReachQuestion) => Promise<Omit<ReachAnswer, 'running'>>;
  readonly relayRequest: ServerClient['relayRequest'];
  readonly places: PromptReservations;
  readonly rolloutJudge: RolloutJudge;
  readonly scheduling: { readonly client: SchedulerClient; readonly registry: SchedulerRegistry };
  /** Closes all connections to servers and the store. */
  stop(): Promise<void>;
}
