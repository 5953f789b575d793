import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import type { Client } from '@connectrpc/connect';
import { Result, ResultAsync, err, errAsync, ok } from 'neverthrow';
import type { OperatorCalls, PeerCalls, PeerError } from '../../../application/peers';
import type { Clock, PeerGenerations } from '../../../application/ports';
import { convertNewsFromMessage } from '../convertNewsFromMessage';
import { convertNewsToMessage } from '../convertNewsToMessage';
import { ExchangeRequestSchema, PeerService } from '../gen/peer_pb';
import { convertConnectError } from './_lib/convertConnectError';
import type { SessionManager } from '../_lib/createSessionManager';
import { openTransport } from '../_lib/openTransport';
import { openGeneration } from './_lib/openGeneration';

/** Timeout of an operator's call to one VM. */
const OPERATOR_TIMEOUT_MS = 2_000;
/** A VM that does not confirm within this time that it holds the generation is unreachable. */
const ATTACH_TIMEOUT_MS = 400;

/** Dependencies of the peer client. */
export interface PeerClientDependencies {
  readonly clock: Clock;
  /** Finds the peer address of a VM that was heard from recently; null if there is none. */
  findPeerAddress(vm: string): string | null;
}

/** Client of peers over Connect. */
export interface PeerClient extends PeerCalls, OperatorCalls, PeerGenerations {
  /** Reads the peer's configuration; null if its version is not above `newerThan`. */
  readConfiguration(
    peerAddress: string,
    newerThan: number,
  ): Promise<
    Result<
      { readonly version: number; readonly body: string } | null,
      { readonly kind: 'unreachable'; readonly reason: string }
    >
  >;
  /** Closes every connection. */
  close(): void;
}

interface Connection {
  readonly calls: Client<typeof PeerService>;
  readonly manager: SessionManager;
}

/** Throws for an invalid address in the library: addresses come from other processes and lists. */
const openConnection = Result.fromThrowable(
  (peerAddress: string): Connection => {
    const { manager, transport } = openTransport(peerAddress);
    return { calls: createClient(PeerService, transport), manager };
  },
  (): PeerError => ({ kind: 'unreachable', reason: 'not an address' }),
);

/**
 * Creates the client of peers: one HTTP/2 connection per address, opened on the first call and
 * closed when idle.
 */
export const createPeerClient = (deps: PeerClientDependencies): PeerClient => {
  const connections = new Map<string, Connection>();
  const getConnection = (peerAddress: string): Result<Connection, PeerError> => {
    const existingConnection = connections.get(peerAddress);
    if (existingConnection !== undefined) return ok(existingConnection);
    const opened = openConnection(peerAddress);
    if (opened.isOk()) connections.set(peerAddress, opened.value);
    return opened;
  };
  const send = <T>(
    peerAddress: string,
    call: (calls: Client<typeof PeerService>) => Promise<T>,
  ): ResultAsync<T, PeerError> =>
    getConnection(peerAddress).match(
      ({ calls }) => ResultAsync.fromPromise(call(calls), convertConnectError),
      (error) => errAsync(error),
    );
  const operatorOptions = { timeoutMs: OPERATOR_TIMEOUT_MS };

  return {
    sendNews: async (peerAddress, news, { timeoutMs }) => {
      const request = create(ExchangeRequestSchema, { news: convertNewsToMessage(news) });
      const response = await send(peerAddress, (calls) => calls.exchange(request, { timeoutMs }));
      return response.andThen((message) => {
        const answer = convertNewsFromMessage(message.news);
        const missing: PeerError = { kind: 'refused', reason: 'response without a sender' };
        return answer === null ? err(missing) : ok(answer);
      });
    },
    readStatus: async (peerAddress) => {
      const response = await send(peerAddress, (calls) => calls.readStatus({}, operatorOptions));
      return response.map(({ json }): unknown => JSON.parse(json));
    },
    listDecisions: async (peerAddress, requestId) => {
      const response = await send(peerAddress, (calls) =>
        calls.explainRequest({ requestId }, operatorOptions),
      );
      return response.map(({ decisions }) =>
        decisions.map((decision): unknown => JSON.parse(decision)),
      );
    },
    drainVm: async (peerAddress) => {
      const response = await send(peerAddress, (calls) => calls.drain({}, operatorOptions));
      return response.map(({ running }) => running);
    },
    readConfiguration: async (peerAddress, newerThan) => {
      const request = { newerThan: BigInt(newerThan) };
      const response = await send(peerAddress, (calls) =>
        calls.readConfiguration(request, operatorOptions),
      );
      return response
        .map(({ version, body }) => (body === '' ? null : { version: Number(version), body }))
        .mapErr(({ reason }) => ({ kind: 'unreachable', reason }));
    },
    attachGeneration: async (target, generation) => {
      const connection = getConnection(target.peerAddress);
      if (connection.isErr()) return err({ kind: 'unreachable' });
      return openGeneration(connection.value.calls, generation, {
        clock: deps.clock,
        timeoutMs: ATTACH_TIMEOUT_MS,
      });
    },
    cancelGeneration: async (target, { generationId, workspace }) => {
      const response = await send(target.peerAddress, (calls) =>
        calls.cancelGeneration({ generationId, workspace }, { timeoutMs: ATTACH_TIMEOUT_MS }),
      );
      return response.map(({ found }) => found).unwrapOr(false);
    },
    findPeerAddress: deps.findPeerAddress,
    close: () => {
      connections.forEach(({ manager }) => manager.abort());
      connections.clear();
    },
  };
};
