import { computeProbeDelayMs } from '../../../domain/detection';
import { BackendHealth } from '../../../domain/types';
import type { Clock, ConfigurationView, EngineClient, HealthRegistry } from '../../ports';

/** Dependencies of the prober. */
export interface ProberDependencies {
  readonly clock: Clock;
  readonly engineClient: EngineClient;
  readonly health: HealthRegistry;
  readonly configuration: ConfigurationView;
}

/** Probes suspected servers and records their recovery once they answer. */
export interface Prober {
  start(): void;
  stop(): void;
}

interface ProbeState {
  /** Consecutive confirmed suspicions without a stable period between them. */
  suspicions: number;
  recoveredAtMs: number;
  cancelTimer: (() => void) | null;
}

/** A server that serves for this time after a recovery counts as stable again. */
const STABLE_AFTER_MS = 30_000;

/** Delay after a probe that was not answered. */
const RETRY_DELAY_MS = 1_000;

const isSuspect = (state: BackendHealth): boolean =>
  state === BackendHealth.Suspected || state === BackendHealth.Dead;

/**
 * Creates the prober of suspected servers.
 *
 * @param dependencies - Health registry to watch and client to probe engines.
 * @returns Prober that is idle until it is started.
 */
export const createProber = (dependencies: ProberDependencies): Prober => {
  const { clock, engineClient, health, configuration } = dependencies;
  const probeStates = new Map<string, ProbeState>();
  let stopListening: (() => void) | null = null;

  const readProbeState = (name: string): ProbeState => {
    const existing = probeStates.get(name);
    if (existing) return existing;
    const created: ProbeState = { suspicions: 0, recoveredAtMs: -Infinity, cancelTimer: null };
    probeStates.set(name, created);
    return created;
  };

  /** Probes a server; returns false if it must be probed again. */
  const probe = async (name: string): Promise<boolean> => {
    const current = configuration.readCurrent()?.configuration;
    const server = current?.backendServers.find((candidate) => candidate.name === name);
    if (!server || !isSuspect(health.readHealth(name))) return true;
    const answered = await engineClient.probe(server);
    if (answered.isErr()) return false;
    readProbeState(name).recoveredAtMs = clock.readMonotonicMs();
    health.recordRecovery(name);
    return true;
  };

  const schedule = (name: string, delayMs: number): void => {
    const state = readProbeState(name);
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

  const handleSuspicion = (name: string): void => {
    const state = readProbeState(name);
    if (state.cancelTimer) return;
    const wasStable = clock.readMonotonicMs() - state.recoveredAtMs > STABLE_AFTER_MS;
    if (wasStable) state.suspicions = 0;
    // A short stall under load only makes a server suspected; its probe delay does not grow.
    if (health.readHealth(name) === BackendHealth.Dead) state.suspicions += 1;
    schedule(name, computeProbeDelayMs(state.suspicions));
  };

  return {
    start: () => {
      stopListening ??= health.addListener((name, state) => {
        if (isSuspect(state)) handleSuspicion(name);
      });
      health.listSuspicions().forEach(({ backendServer }) => handleSuspicion(backendServer));
    },
    stop: () => {
      stopListening?.();
      stopListening = null;
      probeStates.forEach(({ cancelTimer }) => cancelTimer?.());
      probeStates.clear();
    },
  };
};
