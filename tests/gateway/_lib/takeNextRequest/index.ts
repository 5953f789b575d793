import type { ReceivedRequest, StandInServer } from '../../../../standins/gateway';

/** A request and the server that got it. */
export interface TakenRequest {
  readonly server: StandInServer;
  readonly request: ReceivedRequest;
}

/** Takes the next request that any of these servers gets. */
export const takeNextRequest = (servers: readonly StandInServer[]): Promise<TakenRequest> =>
  new Promise((resolve) => {
    let isTaken = false;
    const look = (): void => {
      servers.forEach((server) => {
        const request = isTaken ? null : server.takeRequest();
        if (!request) return;
        isTaken = true;
        resolve({ server, request });
      });
    };
    servers.forEach((server) => server.addListener(look));
    look();
  });
