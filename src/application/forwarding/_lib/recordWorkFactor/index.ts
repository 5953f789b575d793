import {
  formatIncarnation,
  type ServerEntry,
  type ServerLoad,
} from '../../../../domain/forwarding';
import type { ServerPaces } from '../../../paces';

/** Records how long work takes on a server now, if its load states it. */
export const recordWorkFactor = (
  paces: Pick<ServerPaces, 'recordWorkFactor'>,
  server: ServerEntry,
  load: ServerLoad | null,
): void => {
  const workFactor = load?.workFactor ?? null;
  if (workFactor === null) return;
  const incarnation = formatIncarnation(server);
  paces.recordWorkFactor({ service: server.service, incarnation }, workFactor);
};
