import type { StandInServer } from '../../../../standins/gateway';
import type { TestGateway } from '../startTestGateway';

/** All servers but one. */
export const listOtherServers = (
  { servers }: TestGateway,
  server: StandInServer,
): StandInServer[] => servers.filter((other) => other !== server);
