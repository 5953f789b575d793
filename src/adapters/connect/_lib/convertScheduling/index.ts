import { create } from '@bufbuild/protobuf';
import type { ScheduleRequest } from '../../../../application/scheduling';
import type { RequestClass, StreamDemand } from '../../../../domain/scheduling';
import {
  ScheduleRequestSchema,
  StreamDemandSchema,
  type ScheduleRequest as RequestMessage,
  type StreamDemand as DemandMessage,
} from '../../gen/gateway_pb';
import { buildEndedRunMessage, readEndedRunMessage, readStartedRunMessage } from '../convertRuns';
import { roundCount } from '../roundCount';

/** Range of a `sint32` field. */
const MIN_SINT32 = -(2 ** 31);
const MAX_SINT32 = 2 ** 31 - 1;

const roundSigned = (value: number): number =>
  Math.min(MAX_SINT32, Math.max(MIN_SINT32, Math.round(value)));

const buildClass = ({ priority, routePriority }: RequestClass): RequestClass => ({
  priority: roundSigned(priority),
  routePriority: roundSigned(routePriority),
});

const buildDemand = (demand: StreamDemand): DemandMessage =>
  create(StreamDemandSchema, {
    ...demand,
    requestClass: buildClass(demand.requestClass),
    promptTokens: roundCount(demand.promptTokens),
    outputTokens: roundCount(demand.outputTokens),
    waitedMs: roundCount(demand.waitedMs),
    goalLeftMs: roundSigned(demand.goalLeftMs),
    leftMs: roundSigned(demand.leftMs),
    excludedServers: [...demand.excludedServers],
    versions: [...demand.versions],
  });

/** Reads a demand; null without a ticket, a class or a time left, which have no default. */
const readDemand = (message: DemandMessage): StreamDemand | null => {
  const { goalLeftMs, leftMs, requestClass, ticket } = message;
  if (ticket === '' || !requestClass) return null;
  if (goalLeftMs === undefined || leftMs === undefined) return null;
  return {
    ticket,
    requestClass: {
      priority: requestClass.priority,
      routePriority: requestClass.routePriority,
    },
    workspace: message.workspace,
    promptTokens: message.promptTokens,
    outputTokens: message.outputTokens,
    waitedMs: message.waitedMs,
    goalLeftMs,
    leftMs,
    isReturning: message.isReturning,
    isResumed: message.isResumed,
    availabilityZone: message.availabilityZone,
    needsBackup: message.needsBackup,
    excludedServers: message.excludedServers,
    versions: message.versions,
  };
};

/** Converts a schedule request to its protobuf message. */
export const buildScheduleRequestMessage = (request: ScheduleRequest): RequestMessage =>
  create(ScheduleRequestSchema, {
    sender: { ...request.sender },
    service: request.service,
    demands: request.demands.map(buildDemand),
    cancelledTickets: [...request.cancelledTickets],
    startedRuns: request.startedRuns.map(({ kvTokens, server }) => ({
      server,
      kvTokens: roundCount(kvTokens),
    })),
    endedRuns: request.endedRuns.map(buildEndedRunMessage),
  });

/**
 * Converts a protobuf message to a schedule request; malformed demands and runs are dropped.
 *
 * @returns null without a service or a sender that can be answered
 */
export const readScheduleRequestMessage = (message: RequestMessage): ScheduleRequest | null => {
  const { sender, service } = message;
  if (!sender || sender.vm === '' || sender.address === '' || service === '') return null;
  return {
    sender: {
      vm: sender.vm,
      address: sender.address,
      availabilityZone: sender.availabilityZone,
    },
    service,
    demands: message.demands.map(readDemand).filter((demand) => demand !== null),
    cancelledTickets: message.cancelledTickets,
    startedRuns: message.startedRuns.map(readStartedRunMessage).filter((run) => run !== null),
    endedRuns: message.endedRuns.map(readEndedRunMessage).filter((run) => run !== null),
  };
};
