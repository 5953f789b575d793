import type { ServerEntry } from '../../../domain/forwarding';
import type { FailureCause } from '../../../domain/paths';
import type { ServerSighting } from '../../ports';

/** Servers, as far as a probe needs to know and to tell of them. */
export interface ProbedServers {
  /** Finds a known server by its incarnation (`formatIncarnation`). */
  findServer(incarnation: string): ServerEntry | null;
  /** Asks for the server's id on a new connection. */
  probeIdentity(server: ServerEntry): Promise<ServerSighting>;
  /** Finds out whether the server, or the path to it, is the cause of a failure. */
  findFailureCause(serverId: string): Promise<FailureCause>;
  /** True if this VM has lost its links to the server, while the server may be sound. */
  isCutFrom(serverId: string): boolean;
  /** True if this incarnation answered this VM after that monotonic time. */
  hasAnsweredSince(incarnation: string, atMs: number): boolean;
  /** Records that the server answered under its own id, not before this monotonic time. */
  recordAlive(serverId: string, sentSinceMs: number): void;
}
