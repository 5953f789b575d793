import {
  computeEnginePaces,
  formatIncarnation,
  type EnginePaces,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Reads the paces of the engine at a server: those of its service, unless its servers differ. */
export const readRunPaces = (
  { context, dependencies, paces }: StreamRun,
  server: ServerEntry,
): EnginePaces => {
  const { service } = context;
  const { serverPaces } = dependencies;
  const base = paces.readEnginePaces(service);
  if (!serverPaces.isUneven(service)) return base;
  const own = serverPaces.readPace({ service, incarnation: formatIncarnation(server) });
  return computeEnginePaces(base, own, serverPaces.readServicePace(service));
};
