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
  readonly peers: PeerGenerations;
  readonly configuration: ConfigurationView;
  readonly decisionLog: DecisionLog;
  readonly eventLog: EventLog;
}
