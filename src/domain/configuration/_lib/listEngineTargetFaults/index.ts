import { ServiceKind, type Configuration, type EngineTarget } from '../../../types';
import type { ConfigurationFault } from '../../types';

function checkTarget(
  configuration: Configuration,
  { backendServer }: EngineTarget,
): readonly ConfigurationFault[] {
  const server = configuration.backendServers.find(({ name }) => name === backendServer);
  const path = ['engine_targets', backendServer];
  if (server === undefined) {
    return [{ path, reason: `names the unknown backend server "${backendServer}"` }];
  }
  const isPlain = configuration.services.some(
    ({ name, kind }) => kind === ServiceKind.Plain && server.services.includes(name),
  );
  return isPlain
    ? [{ path, reason: `"${backendServer}" serves plain services and takes no engine orders` }]
    : [];
}

/**
 * Lists engine targets of unknown or plain servers, and servers with two targets.
 *
 * The path of these faults names the backend server, since a target stands for one server here.
 */
export function listEngineTargetFaults(
  configuration: Configuration,
): readonly ConfigurationFault[] {
  const targets = configuration.engineTargets;
  const repeated = targets.filter(
    ({ backendServer }, index) =>
      targets.findIndex((target) => target.backendServer === backendServer) !== index,
  );
  return [
    ...targets.flatMap((target) => checkTarget(configuration, target)),
    ...repeated.map(({ backendServer }) => ({
      path: ['engine_targets', backendServer],
      reason: `"${backendServer}" stands in two engine targets`,
    })),
  ];
}
