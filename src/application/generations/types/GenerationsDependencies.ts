import type { CrashHistory } from '../../crashes';
import type {
  Claims,
  Clock,
  ConfigurationView,
  DecisionLog,
  EngineClient,
  EventLog,
  HealthRegistry,
  PeerGenerations,
  Randomness,
  Router,
} from '../../ports';

/** Dependencies of the generations of an entry VM. */
export interface GenerationsDependencies {
  /** Name of this VM. */
  readonly vm: string;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly engineClient: EngineClient;
  readonly router: Router;
  readonly health: HealthRegistry;
  readonly claims: Claims;
  /** Tracks which requests crash the engines that run them. */
  readonly crashes: Pick<CrashHistory, 'findCause' | 'isEmpty' | 'recordOutcome'>;
  readonly peers: PeerGenerations;
  readonly configuration: ConfigurationView;
  readonly decisionLog: DecisionLog;
  readonly eventLog: EventLog;
}
