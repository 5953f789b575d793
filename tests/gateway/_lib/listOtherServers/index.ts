import type { StandInServer } from '../../../../standins/gateway';
import type { TestGateway } from '../startTestGateway';

/** Lists all servers except the given one. */
export const listOtherServers = (
  { servers }: TestGateway,
  server: StandInServer,
): StandInServer[] => servers.filter((other) => other !== server);
