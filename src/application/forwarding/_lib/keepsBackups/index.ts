import type { ServerEntry } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** True if this server of the run's service copies its KV cache to a backup as the run grows. */
export const keepsBackups = (
  { context, dependencies }: StreamRun,
  server: ServerEntry,
): boolean => {
  const engine = dependencies.tables.readCurrent()?.services.get(context.service)?.engine;
  return (engine?.supportsKvBackup ?? false) && !context.servers.isTrial(server);
};
