import type { ServerEntry } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** True: this server of the run's service copies its memory to another one as it grows. */
export const keepsBackups = (
  { context, dependencies }: StreamRun,
  server: ServerEntry,
): boolean => {
  const engine = dependencies.tables.readCurrent()?.services.get(context.service)?.engine;
  return (engine?.supportsKvBackup ?? false) && !context.servers.isTrial(server);
};
