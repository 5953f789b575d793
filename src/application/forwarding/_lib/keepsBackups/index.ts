import type { StreamRun } from '../../types';

/** True: servers of the run's service copy its memory to another one as it grows. */
export const keepsBackups = ({ context, dependencies }: StreamRun): boolean =>
  dependencies.tables.readCurrent()?.services.get(context.service)?.engine?.keepsBackups ?? false;
