import type { BackendHealth, Suspicion } from '../../domain/types';

/** Health of backend servers, as known from this VM's streams, peers and the VM list. */
export interface HealthRegistry {
  readHealth(backendServer: string): BackendHealth;
  /** Records evidence of this VM or a peer; older evidence changes nothing. */
  recordSuspicion(suspicion: Suspicion): void;
  /** Records that the server answered a probe or delivered tokens. */
  recordRecovery(backendServer: string): void;
  recordLeaving(backendServer: string, leaving: boolean): void;
  /** Lists the servers that are not serving, to be sent to peers. */
  listSuspicions(): readonly Suspicion[];
  /** Calls `listener` on each change of a server's health; the returned function removes it. */
  addListener(listener: (backendServer: string, health: BackendHealth) => void): () => void;
}
