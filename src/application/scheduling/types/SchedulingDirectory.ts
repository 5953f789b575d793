import type { ServerStatus } from '../../../domain/forwarding';

/** What the scheduler reads and tells of servers. */
export interface SchedulingDirectory {
  /** Lists the servers of a service that accept new work. */
  listServing(service: string): readonly ServerStatus[];
  isHealthy(id: string): boolean;
  isRateLimited(id: string): boolean;
  recordSuspicion(id: string, cause: 'silent'): void;
  /** Records the start time that a server stated; null if it stated none. */
  recordStartTime(id: string, bornMs: number | null): void;
  recordLeaving(id: string): void;
}
