import type { MessageInitShape, MessageShape } from '@bufbuild/protobuf';
import type { RetryRequest, RetryReturn } from '../../../application/forwarding';
import type { Knowledge } from '../../../application/gossip';
import type {
  PermitRelease,
  PermitRequest,
  RoomRelease,
  RoomRequest,
} from '../../../application/limits';
import type { ReachAnswer, ReachQuestion } from '../../../application/paths';
import type { TrialReport } from '../../../application/rollouts';
import type { StatementsResponse, StatementsRequest } from '../../../application/rows';
import type {
  DeliveredDecision,
  ScheduleRequest,
  ScheduleResponse,
} from '../../../application/scheduling';
import type { LoadPart } from '../../../domain/fleet-load';
import type { PermitDecision } from '../../../domain/limits';
import type { RolloutVerdict } from '../../../domain/rollouts';
import { buildLoadPartMessage, readLoadPartMessage } from '../_lib/convertFleetLoad';
import { buildKnowledgeMessage, readKnowledgeMessage } from '../_lib/convertKnowledge';
import { buildVerdictMessage, readReportMessage } from '../_lib/convertRollouts';
import { buildScheduleResponseMessage, readDeliveryMessage } from '../_lib/convertScheduleDecision';
import { readScheduleRequestMessage } from '../_lib/convertScheduling';
import { buildStatementsMessage, readStatementsRequestMessage } from '../_lib/convertStatements';
import { GatewayService } from '../gen/gateway_pb';

/** Services of a gateway that other gateways call. */
export interface GatewayServices {
  readonly handleKnowledge: (knowledge: Knowledge) => Knowledge;
  readonly lendRetry: (request: RetryRequest) => boolean;
  readonly handleReturnedRetry: (returned: RetryReturn) => void;
  readonly recordToldPrompt: (server: string, tokens: number) => void;
  readonly handleReservation: (server: string, tokens: number) => number;
  readonly handlePermit: (request: PermitRequest) => PermitDecision;
  readonly releasePermit: (release: PermitRelease) => void;
  readonly handleRoomRequest: (request: RoomRequest) => Promise<PermitDecision>;
  readonly releaseRoom: (release: RoomRelease) => void;
  readonly handleReachRequest: (question: ReachQuestion) => Promise<ReachAnswer>;
  readonly handleRequest: (request: StatementsRequest) => Promise<StatementsResponse>;
  /** Null if this gateway does not know the rollout order. */
  readonly handleReport: (report: TrialReport) => RolloutVerdict | null;
  readonly handleScheduleRequest: (request: ScheduleRequest) => ScheduleResponse;
  /** False if this gateway no longer needs the decision. */
  readonly handleDelivery: (delivered: DeliveredDecision) => boolean;
  /** Merges the load of a VM of this zone; returns the sum of each zone. */
  readonly handleLoadReport: (part: LoadPart) => readonly LoadPart[];
  /** Merges the load of a zone; null if this gateway collects none. */
  readonly handleLoadExchange: (zone: LoadPart) => LoadPart | null;
}

type Methods = typeof GatewayService.method;

/** Handlers of the calls between gateways, by method; they throw on an invalid request. */
export type GatewayHandlers = {
  readonly [Name in keyof Methods]: (
    request: MessageShape<Methods[Name]['input']>,
  ) => Promise<MessageInitShape<Methods[Name]['output']>>;
};

/** Creates the handlers of the calls between gateways. */
export const createGatewayHandlers = ({
  handleDelivery,
  handleKnowledge,
  handleLoadExchange,
  handleLoadReport,
  handlePermit,
  handleReachRequest,
  handleReport,
  handleRequest,
  handleReservation,
  handleReturnedRetry,
  handleRoomRequest,
  handleScheduleRequest,
  lendRetry,
  recordToldPrompt,
  releasePermit,
  releaseRoom,
}: GatewayServices): GatewayHandlers => ({
  lendRetry: async ({ id, service }) => ({ isLent: lendRetry({ id, service }) }),
  returnRetry: async ({ id, isUnused }) => {
    handleReturnedRetry({ id, isUnused });
    return {};
  },
  reservePrompt: async ({ server, tokens }) => ({
    othersTokens: handleReservation(server, tokens),
  }),
  acquirePermit: async (request) => handlePermit(request),
  releasePermit: async ({ id, sender, server }) => {
    releasePermit({ id, sender, server });
    return {};
  },
  acquireRoom: async (request) => handleRoomRequest(request),
  releaseRoom: async ({ id, isRejected, server }) => {
    releaseRoom({ id, isRejected, server });
    return {};
  },
  readReach: async ({ servers, suspect }) => {
    const { reachedIds, reachesAny, running } = await handleReachRequest({
      ids: servers,
      suspectId: suspect === '' ? null : suspect,
    });
    return { reached: [...reachedIds], reachesAny, running };
  },
  tellPrompt: async ({ server, tokens }) => {
    recordToldPrompt(server, tokens);
    return {};
  },
  reportTrial: async (request) => {
    const verdict = handleReport(readReportMessage(request));
    return verdict ? { verdict: buildVerdictMessage(verdict) } : {};
  },
  schedule: async (message) => {
    const request = readScheduleRequestMessage(message);
    if (request === null) throw new Error('schedule request without a service or a sender');
    return buildScheduleResponseMessage(handleScheduleRequest(request));
  },
  deliverDecision: async (message) => {
    const delivered = readDeliveryMessage(message);
    if (delivered === null) throw new Error('delivery without a service or a decision');
    return { isAccepted: handleDelivery(delivered) };
  },
  reportLoad: async ({ part: message }) => {
    const part = readLoadPartMessage(message);
    if (part === null) throw new Error('load report without a sender or a zone');
    return { zones: handleLoadReport(part).map(buildLoadPartMessage) };
  },
  exchangeLoad: async ({ zone: message }) => {
    const received = readLoadPartMessage(message);
    if (received === null) throw new Error('load of a zone without a sender or a zone');
    const zone = handleLoadExchange(received);
    return zone ? { zone: buildLoadPartMessage(zone) } : {};
  },
  followTables: async (request) =>
    buildStatementsMessage(await handleRequest(readStatementsRequestMessage(request))),
  exchange: async (request) => {
    const knowledge = readKnowledgeMessage(request.knowledge);
    if (knowledge === null) throw new Error('knowledge without a sender');
    return { knowledge: buildKnowledgeMessage(handleKnowledge(knowledge)) };
  },
});
