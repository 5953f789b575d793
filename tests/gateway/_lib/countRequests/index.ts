import type { TestGateway } from '../startTestGateway';

/** Requests that all servers have got together. */
export const countRequests = ({ servers }: TestGateway): number =>
  servers.reduce((sum, server) => sum + server.countRequests(), 0);
