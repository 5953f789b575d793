import type { ReceivedRequest, StandInServer } from '../../../../standins/gateway';

/** A request and the server that received it. */
export interface TakenRequest {
  readonly server: StandInServer;
  readonly request: ReceivedRequest;
}

/** Takes the next request that any of the servers receives. */
export const takeNextRequest = (servers: readonly StandInServer[]): Promise<TakenRequest> =>
  new Promise((resolve) => {
    let isTaken = false;
    const check = (): void => {
      servers.forEach((server) => {
        const request = isTaken ? null : server.takeRequest();
        if (!request) return;
        isTaken = true;
        resolve({ server, request });
      });
    };
    servers.forEach((server) => server.addListener(check));
    check();
  });
