import {
  createIdentityWatch,
  createServerDirectory,
  type IdentityWatch,
  type RouteTableHolder,
  type ServerDirectory,
} from '../../../../application/forwarding';
import type { Gossip } from '../../../../application/gossip';
import type { PermitClient, ServerLimits } from '../../../../application/limits';
import type { ServerPaces } from '../../../../application/paces';
import type { ServerPaths } from '../../../../application/paths';
import type { Clock, EventLog } from '../../../../application/ports';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { decodeServerEntry, type ServerClient } from '../../../../../platform';

/** Dependencies of the directory of servers. */
export interface DirectoryPartsDependencies {
  readonly settings: Pick<GatewaySettings, 'bounds'>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly client: ServerClient;
  readonly limits: Pick<ServerLimits, 'forgetServer'>;
  readonly permits: Pick<PermitClient, 'forgetServer'>;
  readonly paths: Pick<ServerPaths, 'forgetServer' | 'judgeFailure'>;
  readonly serverPaces: Pick<ServerPaces, 'forgetServer'>;
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
  readonly publishSuspicion: Gossip['sendSuspicion'];
  readonly publishInferred: Gossip['sendInferred'];
}

/** The directory of servers, and the watch over their addresses. */
export interface DirectoryParts {
  readonly directory: ServerDirectory;
  readonly identityWatch: IdentityWatch;
}

/** Wires the directory of servers. */
export const wireDirectory = ({
  client,
  clock,
  limits,
  log,
  paths,
  permits,
  publishInferred,
  publishSuspicion,
  serverPaces,
  settings,
  tables,
}: DirectoryPartsDependencies): DirectoryParts => {
  let startIdentityWatch = (): void => undefined;
  const directory = createServerDirectory({
    clock,
    log,
    decode: decodeServerEntry,
    handleGone: (id, incarnation) => {
      serverPaces.forgetServer(incarnation);
      client.removeServer(id);
      limits.forgetServer(id);
      permits.forgetServer(id);
      paths.forgetServer(id);
    },
    reuseAfterMs: settings.bounds.reuseAfterMs,
    handleSuspected: (id, cause) => {
      startIdentityWatch();
      paths.judgeFailure(id).then((isServerFault) => {
        if (isServerFault) publishSuspicion(id, cause);
        else log.info('suspicion withheld', { server: id, cause });
      });
    },
    handleInferred: (server) => {
      publishInferred(server);
      startIdentityWatch();
    },
  });
  const identityWatch = createIdentityWatch({ client, clock, directory, log, tables });
  startIdentityWatch = identityWatch.start;
  return { directory, identityWatch };
};
