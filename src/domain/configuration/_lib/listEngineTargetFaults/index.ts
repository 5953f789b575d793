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
 * Lists engine targets for unknown or plain servers, and servers with two targets.
 *
 * The path of a fault names the backend server, since a target applies to exactly one server.
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
      reason: `"${backendServer}" appears in two engine targets`,
    })),
  ];
}
