import type { TestGateway } from '../startTestGateway';

/** Counts the requests that all servers have received. */
export const countRequests = ({ servers }: TestGateway): number =>
  servers.reduce((sum, server) => sum + server.countRequests(), 0);
