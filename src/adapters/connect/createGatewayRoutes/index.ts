import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import type { Knowledge } from '../../../application/gossip';
import { buildKnowledgeMessage, readKnowledgeMessage } from '../_lib/convertKnowledge';
import { GatewayService } from '../gen/gateway_pb';

/** Creates the handlers of the calls between gateways. */
export const createGatewayRoutes =
  (handleKnowledge: (knowledge: Knowledge) => Knowledge) =>
  (router: ConnectRouter): void => {
    router.service(GatewayService, {
      exchange: (request) => {
        const knowledge = readKnowledgeMessage(request.knowledge);
        if (knowledge === null) {
          throw new ConnectError('knowledge without a sender', Code.InvalidArgument);
        }
        return { knowledge: buildKnowledgeMessage(handleKnowledge(knowledge)) };
      },
    });
  };
