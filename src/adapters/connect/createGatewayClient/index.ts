import { setTimeout as wait } from 'node:timers/promises';
import type { RetryRequest, RetryReturn, SentPrompt } from '../../../application/forwarding';
import type { FleetLoadCalls } from '../../../application/fleet-load';
import type { GossipCalls } from '../../../application/gossip';
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
import type { PermitDecision } from '../../../domain/limits';
import type { RolloutVerdict } from '../../../domain/rollouts';
import { buildLoadPartMessage, readLoadPartMessage } from '../_lib/convertFleetLoad';
import { buildKnowledgeMessage, readKnowledgeMessage } from '../_lib/convertKnowledge';
import { buildReportMessage, readVerdictMessage } from '../_lib/convertRollouts';
import { buildDeliveryMessage, readScheduleResponseMessage } from '../_lib/convertScheduleDecision';
import { buildScheduleRequestMessage } from '../_lib/convertScheduling';
import { buildStatementsRequestMessage, readStatementsMessage } from '../_lib/convertStatements';
import { createUnaryCaller } from '../_lib/createUnaryCaller';
import { GatewayService } from '../gen/gateway_pb';

/** Client of other gateways. */
export interface GatewayClient extends GossipCalls, FleetLoadCalls {
  /** Asks a gateway for one retry of its budget; null if the gateway times out. */
  borrowRetry(address: string, request: RetryRequest): Promise<boolean | null>;
  /** Tells a gateway what became of a retry that it lent; best effort, no retry. */
  returnRetry(address: string, returned: RetryReturn): void;
  /** Tells a gateway about a prompt that was sent to a server; best effort, no retry. */
  tellPrompt(address: string, prompt: SentPrompt): void;
  /** Reserves a place for a prompt; null if the gateway times out. */
  reservePrompt(address: string, prompt: SentPrompt): Promise<number | null>;
  /** Asks a gateway for a permit; null if the gateway times out. */
  acquirePermit(address: string, request: PermitRequest): Promise<PermitDecision | null>;
  /** Returns an unused permit; best effort, no retry. */
  releasePermit(address: string, release: PermitRelease): void;
  /** Asks a gateway for room at a brittle server; null if the gateway times out. */
  acquireRoom(address: string, request: RoomRequest): Promise<PermitDecision | null>;
  /** Gives room back; false if the gateway times out. */
  releaseRoom(address: string, release: RoomRelease): Promise<boolean>;
  /** Asks a gateway which of these servers it reaches; null if it times out. */
  readReach(address: string, question: ReachQuestion): Promise<ReachAnswer | null>;
  /** Asks a gateway for newer rows of the store's tables; null if the gateway times out. */
  followTables(
    address: string,
    request: StatementsRequest,
    timeoutMs: number,
  ): Promise<StatementsResponse | null>;
  /** Reports the results of a new version; null without a verdict, or if the gateway times out. */
  reportTrial(address: string, report: TrialReport): Promise<RolloutVerdict | null>;
  /**
   * Asks the scheduler of a service; null if the gateway times out. The timeout is longer than
   * streams wait, so that the caller learns of grants in a late response and can cancel them.
   */
  schedule(address: string, request: ScheduleRequest): Promise<ScheduleResponse | null>;
  /** Delivers a scheduler's decision; false if it is not needed, or if the gateway times out. */
  deliverDecision(address: string, delivered: DeliveredDecision): Promise<boolean>;
  /** Closes every connection. */
  close(): void;
}

/**
 * A gateway responds within a few milliseconds; an unreachable one never does. A configuration of
 * 2,000 routes has 0.5 MB, which a VM with a 7 Mbit/s link receives in 0.6 s.
 */
const CALL_TIMEOUT_MS = 1000;

/** A stream waits for the response, and may ask two more gateways. */
const RETRY_TIMEOUT_MS = 100;

/**
 * After a timeout the report goes to the next gateway in line. A bad version must be detected
 * within one or two seconds.
 */
const REPORT_TIMEOUT_MS = 300;

/** A prompt waits for the response; a healthy gateway responds within a few milliseconds. */
const RESERVE_TIMEOUT_MS = 30;

/** A lookup waits for the response, and may ask seven more gateways. */
const PERMIT_TIMEOUT_MS = 40;

/** Room at a server is held for the response; afterwards another waiting stream gets it. */
const DELIVER_TIMEOUT_MS = 400;

/** The load is half a second old in any case; the next VM by rank must still answer within 2 s. */
const LOAD_TIMEOUT_MS = 300;

/** The receiver probes servers, which takes a quarter of a second if one does not answer. */
const REACH_TIMEOUT_MS = 450;

const METHODS = GatewayService.method;

/**
 * Waits for a response; null after `waitMs`. The call itself goes on, so the connection is kept.
 */
const waitWithTimeout = <Answer>(
  response: Promise<Answer | null>,
  waitMs: number,
): Promise<Answer | null> => Promise.race([response, wait(waitMs, null, { ref: false })]);

/** Creates the client of other gateways. */
export const createGatewayClient = (): GatewayClient => {
  const { call, close } = createUnaryCaller();
  return {
    exchangeKnowledge: async (address, knowledge) => {
      const request = { knowledge: buildKnowledgeMessage(knowledge) };
      const answer = await call(address, METHODS.exchange, request, CALL_TIMEOUT_MS);
      return answer && readKnowledgeMessage(answer.knowledge);
    },
    borrowRetry: async (address, request) => {
      const answer = await call(address, METHODS.lendRetry, request, RETRY_TIMEOUT_MS);
      return answer?.isLent ?? null;
    },
    returnRetry: (address, returned) => {
      call(address, METHODS.returnRetry, returned, CALL_TIMEOUT_MS);
    },
    reservePrompt: async (address, prompt) => {
      const pending = call(address, METHODS.reservePrompt, prompt, CALL_TIMEOUT_MS);
      const answer = await waitWithTimeout(pending, RESERVE_TIMEOUT_MS);
      return answer?.othersTokens ?? null;
    },
    acquirePermit: async (address, request) => {
      const message = { ...request, sentAgesMs: [...request.sentAgesMs] };
      const pending = call(address, METHODS.acquirePermit, message, CALL_TIMEOUT_MS);
      const answer = await waitWithTimeout(pending, PERMIT_TIMEOUT_MS);
      return answer && { isGranted: answer.isGranted, waitMs: answer.waitMs };
    },
    releasePermit: (address, release) => {
      call(address, METHODS.releasePermit, release, CALL_TIMEOUT_MS);
    },
    acquireRoom: async (address, request) => {
      const timeoutMs = request.waitMs + PERMIT_TIMEOUT_MS;
      const pending = call(address, METHODS.acquireRoom, request, timeoutMs + CALL_TIMEOUT_MS);
      const answer = await waitWithTimeout(pending, timeoutMs);
      return answer && { isGranted: answer.isGranted, waitMs: answer.waitMs };
    },
    releaseRoom: async (address, release) =>
      (await call(address, METHODS.releaseRoom, release, CALL_TIMEOUT_MS)) !== null,
    tellPrompt: (address, prompt) => {
      call(address, METHODS.tellPrompt, prompt, CALL_TIMEOUT_MS);
    },
    readReach: async (address, { ids, suspectId }) => {
      const answer = await call(
        address,
        METHODS.readReach,
        { servers: [...ids], suspect: suspectId ?? '' },
        REACH_TIMEOUT_MS,
      );
      return (
        answer && {
          reachedIds: answer.reached,
          reachesAny: answer.reachesAny,
          running: answer.running,
        }
      );
    },
    followTables: async (address, request, timeoutMs) => {
      const message = buildStatementsRequestMessage(request);
      const answer = await call(address, METHODS.followTables, message, Math.ceil(timeoutMs));
      return answer && readStatementsMessage(answer);
    },
    reportTrial: async (address, report) => {
      const message = buildReportMessage(report);
      const answer = await call(address, METHODS.reportTrial, message, REPORT_TIMEOUT_MS);
      return answer?.verdict ? readVerdictMessage(answer.verdict) : null;
    },
    schedule: async (address, request) => {
      const message = buildScheduleRequestMessage(request);
      const answer = await call(address, METHODS.schedule, message, CALL_TIMEOUT_MS);
      return answer && readScheduleResponseMessage(answer);
    },
    deliverDecision: async (address, delivered) => {
      const message = buildDeliveryMessage(delivered);
      const pending = call(address, METHODS.deliverDecision, message, CALL_TIMEOUT_MS);
      const answer = await waitWithTimeout(pending, DELIVER_TIMEOUT_MS);
      return answer?.isAccepted ?? false;
    },
    reportLoad: async (address, part) => {
      const message = { part: buildLoadPartMessage(part) };
      const answer = await call(address, METHODS.reportLoad, message, LOAD_TIMEOUT_MS);
      return answer && answer.zones.map(readLoadPartMessage).filter((zone) => zone !== null);
    },
    exchangeLoad: async (address, zone) => {
      const message = { zone: buildLoadPartMessage(zone) };
      const answer = await call(address, METHODS.exchangeLoad, message, LOAD_TIMEOUT_MS);
      return answer && { zone: readLoadPartMessage(answer.zone) };
    },
    close,
  };
};
