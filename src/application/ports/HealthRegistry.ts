import type { BackendHealth, Suspicion } from '../../domain/types';

/** What this VM holds of the health of backend servers, from its own streams, peers and the VM list. */
export interface HealthRegistry {
  readHealth(backendServer: string): BackendHealth;
  /** Records own or a peer's evidence; older evidence changes nothing. */
  recordSuspicion(suspicion: Suspicion): void;
  /** Records that the server answered a probe or delivered tokens. */
  recordRecovery(backendServer: string): void;
  recordLeaving(backendServer: string, leaving: boolean): void;
  /** All servers not serving, for sharing with peers. */
  listSuspicions(): readonly Suspicion[];
  /** Calls `listener` on each change of a server's health. */
  addListener(listener: (backendServer: string, health: BackendHealth) => void): () => void;
}
