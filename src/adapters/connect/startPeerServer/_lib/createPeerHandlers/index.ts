import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';
import type { PeerServices } from '../../../../../application/peers';
import { convertNewsFromMessage } from '../../../convertNewsFromMessage';
import { convertNewsToMessage } from '../../../convertNewsToMessage';
import {
  CancelGenerationResponseSchema,
  DrainResponseSchema,
  ExchangeResponseSchema,
  ExplainRequestResponseSchema,
  PeerService,
  ReadConfigurationResponseSchema,
  ReadStatusResponseSchema,
} from '../../../gen/peer_pb';
import { sendGeneration } from '../sendGeneration';

/** Creates the handlers of the peer service's calls. */
export const createPeerHandlers = (services: PeerServices) => (router: ConnectRouter) =>
  router.service(PeerService, {
    exchange(request) {
      const news = convertNewsFromMessage(request.news);
      if (news === null) throw new ConnectError('news without a sender', Code.InvalidArgument);
      const answer = convertNewsToMessage(services.handleNews(news));
      return create(ExchangeResponseSchema, { news: answer });
    },
    attachGeneration: (request, context) =>
      sendGeneration(services.generations, request, context.signal),
    async cancelGeneration({ workspace, generationId }) {
      const found = await services.generations?.cancelGeneration(workspace, generationId);
      return create(CancelGenerationResponseSchema, { found: found ?? false });
    },
    readConfiguration: ({ newerThan }) => {
      const encoded = services.readEncoded(Number(newerThan));
      return create(ReadConfigurationResponseSchema, {
        version: BigInt(encoded?.version ?? 0),
        body: encoded?.body ?? '',
      });
    },
    readStatus: () =>
      create(ReadStatusResponseSchema, { json: JSON.stringify(services.readStatus()) }),
    explainRequest: ({ requestId }) =>
      create(ExplainRequestResponseSchema, {
        decisions: services.decisions
          .listDecisions(requestId)
          .map((decision) => JSON.stringify(decision)),
      }),
    drain: () => create(DrainResponseSchema, { running: services.drain() }),
  });
