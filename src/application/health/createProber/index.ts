import { computeProbeDelayMs } from '../../../domain/detection';
import { BackendHealth } from '../../../domain/types';
import type { Clock, ConfigurationView, EngineClient, HealthRegistry } from '../../ports';

/** What the prober needs. */
export interface ProberDependencies {
  readonly clock: Clock;
  readonly engineClient: EngineClient;
  readonly health: HealthRegistry;
  readonly configuration: ConfigurationView;
}

/** Brings suspected servers back once they answer. */
export interface Prober {
  start(): void;
  stop(): void;
}

interface Watched {
  /** Confirmed suspicions in a row. */
  suspicions: number;
  recoveredAtMs: number;
  cancelTimer: (() => void) | null;
}

/** Service for so long after a recovery shows that the trouble is over. */
const TROUBLE_OVER_MS = 30_000;

/** Wait after a probe that was not answered. */
const RETRY_DELAY_MS = 1_000;

const isSuspect = (state: BackendHealth): boolean =>
  state === BackendHealth.Suspected || state === BackendHealth.Dead;

/**
 * Creates the prober of suspected servers.
 *
 * @param dependencies - Health to watch and engines to ask.
 * @returns Prober that stands still until it is started.
 */
export const createProber = (dependencies: ProberDependencies): Prober => {
  const { clock, engineClient, health, configuration } = dependencies;
  const watched = new Map<string, Watched>();
  let stopListening: (() => void) | null = null;

  const readWatched = (name: string): Watched => {
    const known = watched.get(name);
    if (known) return known;
    const fresh: Watched = { suspicions: 0, recoveredAtMs: -Infinity, cancelTimer: null };
    watched.set(name, fresh);
    return fresh;
  };

  /** Gives false if the server has to be probed again. */
  const probe = async (name: string): Promise<boolean> => {
    const current = configuration.readCurrent()?.configuration;
    const server = current?.backendServers.find((candidate) => candidate.name === name);
    if (!server || !isSuspect(health.readHealth(name))) return true;
    const answered = await engineClient.probe(server);
    if (answered.isErr()) return false;
    readWatched(name).recoveredAtMs = clock.readMonotonicMs();
    health.recordRecovery(name);
    return true;
  };

  const schedule = (name: string, delayMs: number): void => {
    const state = readWatched(name);
    if (state.cancelTimer || !stopListening) return;
    state.cancelTimer = clock.startTimer(delayMs, () => {
      state.cancelTimer = null;
      probe(name)
        .catch(() => false)
        .then((isDone) => {
          if (!isDone) schedule(name, RETRY_DELAY_MS);
        });
    });
  };

  const watch = (name: string): void => {
    const state = readWatched(name);
    if (state.cancelTimer) return;
    const isNewTrouble = clock.readMonotonicMs() - state.recoveredAtMs > TROUBLE_OVER_MS;
    if (isNewTrouble) state.suspicions = 0;
    // A short stall under load only makes a server suspected: it is probed soon, however often.
    if (health.readHealth(name) === BackendHealth.Dead) state.suspicions += 1;
    schedule(name, computeProbeDelayMs(state.suspicions));
  };

  return {
    start: () => {
      stopListening ??= health.addListener((name, state) => {
        if (isSuspect(state)) watch(name);
      });
      health.listSuspicions().forEach(({ backendServer }) => watch(backendServer));
    },
    stop: () => {
      stopListening?.();
      stopListening = null;
      watched.forEach(({ cancelTimer }) => cancelTimer?.());
      watched.clear();
    },
  };
};
