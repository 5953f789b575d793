import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { buffer } from 'node:stream/consumers';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Result } from 'neverthrow';
import { RELAY_PREFIX } from '../../../application/paths';
import type { EventLog } from '../../../application/ports';
import { startListening, type ListeningServer, type ListenError } from '../../http';
import { buildMethodPath, MESSAGE_TYPE } from '../_lib/buildMethodPath';
import type { GatewayHandlers } from '../createGatewayHandlers';
import type { RelayHandler } from '../createRelayHandler';
import { GatewayService } from '../gen/gateway_pb';

/** Dependencies of the server for other gateways. */
export interface GatewayServerDependencies {
  readonly handlers: GatewayHandlers;
  /** Forwards requests of other gateways to servers. */
  readonly relay: Pick<RelayHandler, 'handleRequest'>;
  readonly log: EventLog;
}

/** Longer messages are refused; the news of a large region is far shorter. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * Longer than clients keep an idle connection: a connection that the server closes could otherwise
 * lose a call in flight.
 */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

const STATUS = { ok: 200, badRequest: 400, notFound: 404, tooLarge: 413 } as const;

type MethodName = keyof typeof GatewayService.method;

/** Sends an error of the Connect protocol and closes the connection with the request unread. */
const sendFailure = (response: ServerResponse, status: number, message: string): void => {
  response.shouldKeepAlive = false;
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ code: 'invalid_argument', message }));
};

/**
 * Starts the server that other gateways call: unary calls of the Connect protocol over HTTP/1.1.
 *
 * @param listen - host and port; port 0 selects a free port
 */
export const startGatewayServer = (
  { handlers, log, relay }: GatewayServerDependencies,
  listen: { readonly host: string; readonly port: number },
): Promise<Result<ListeningServer, ListenError>> => {
  const methodsByPath = new Map(
    (Object.keys(GatewayService.method) as MethodName[]).map((name) => [
      buildMethodPath(GatewayService.method[name]),
      name,
    ]),
  );

  const handleCall = async (
    name: MethodName,
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const method = GatewayService.method[name];
    const request = fromBinary(method.input, await buffer(incoming));
    // The request has the type of the method `name`, which the index type does not express.
    const answer = await handlers[name](request as never);
    const body = toBinary(method.output, create(method.output, answer));
    response.writeHead(STATUS.ok, { 'content-type': MESSAGE_TYPE, 'content-length': body.length });
    response.end(body);
  };

  const handle = (incoming: IncomingMessage, response: ServerResponse): void => {
    response.sendDate = false;
    if (incoming.url?.startsWith(`${RELAY_PREFIX}/`)) {
      relay.handleRequest(incoming, response).catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('relayed request failed unexpectedly', { reason });
        response.destroy();
      });
      return;
    }
    const name = methodsByPath.get(incoming.url ?? '');
    if (!name) {
      sendFailure(response, STATUS.notFound, 'unknown method');
      return;
    }
    if (!(Number(incoming.headers['content-length']) <= MAX_MESSAGE_BYTES)) {
      sendFailure(response, STATUS.tooLarge, 'content-length is missing or too large');
      return;
    }
    handleCall(name, incoming, response).catch((error: unknown) => {
      const reason = error instanceof Error ? error.message : 'unknown';
      // The calling gateway has closed the connection and expects no response.
      if (incoming.destroyed && !incoming.complete) return;
      log.warn('call from another gateway failed', { method: name, reason });
      if (!response.headersSent) sendFailure(response, STATUS.badRequest, reason);
    });
  };

  const server = createServer(
    { noDelay: true, keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS },
    handle,
  );
  return startListening(server, listen);
};
