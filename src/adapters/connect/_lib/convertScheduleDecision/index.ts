import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { DeliveredDecision, ScheduleResponse } from '../../../../application/scheduling';
import type { ScheduleDecision } from '../../../../domain/scheduling';
import {
  DeliverDecisionRequestSchema,
  ScheduleDecisionSchema,
  ScheduleResponseSchema,
  type DeliverDecisionRequest,
  type ScheduleDecision as DecisionMessage,
  type ScheduleResponse as ResponseMessage,
} from '../../gen/gateway_pb';
import { roundCount } from '../roundCount';

type OutcomeInit = NonNullable<MessageInitShape<typeof ScheduleDecisionSchema>['outcome']>;

const OUTCOME_BUILDERS: {
  readonly [Kind in ScheduleDecision['kind']]: (
    decision: Extract<ScheduleDecision, { kind: Kind }>,
  ) => OutcomeInit;
} = {
  send: ({ backup, isFree, predictedMs, server }) => ({
    case: 'send',
    value: {
      server,
      ...(backup === null ? {} : { backup }),
      predictedMs: roundCount(predictedMs),
      isFree,
    },
  }),
  wait: ({ predictedMs }) => ({ case: 'wait', value: { predictedMs: roundCount(predictedMs) } }),
  refuse: ({ reason, returnMs }) => ({
    case: 'refuse',
    value: { reason, returnMs: roundCount(returnMs) },
  }),
};

const buildOutcome = <Kind extends ScheduleDecision['kind']>(
  decision: Extract<ScheduleDecision, { kind: Kind }>,
): OutcomeInit => OUTCOME_BUILDERS[decision.kind](decision);

const buildDecision = (decision: ScheduleDecision): DecisionMessage =>
  create(ScheduleDecisionSchema, { ticket: decision.ticket, outcome: buildOutcome(decision) });

/** Reads a decision; null without a ticket, an outcome or a server to send to. */
const readDecision = ({ outcome, ticket }: DecisionMessage): ScheduleDecision | null => {
  if (ticket === '' || outcome.case === undefined) return null;
  if (outcome.case === 'wait') {
    return { kind: 'wait', ticket, predictedMs: outcome.value.predictedMs };
  }
  if (outcome.case === 'refuse') {
    const { reason, returnMs } = outcome.value;
    return { kind: 'refuse', ticket, reason, returnMs };
  }
  const { backup, isFree, predictedMs, server } = outcome.value;
  if (server === '') return null;
  return { kind: 'send', ticket, server, backup: backup ?? null, predictedMs, isFree };
};

/** Converts a scheduler's response to its protobuf message. */
export const buildScheduleResponseMessage = ({
  decisions,
  isOwner,
}: ScheduleResponse): ResponseMessage =>
  create(ScheduleResponseSchema, { isOwner, decisions: decisions.map(buildDecision) });

/**
 * Converts a protobuf message to a scheduler's response.
 *
 * Malformed decisions are dropped: their demands count as not answered.
 */
export const readScheduleResponseMessage = ({
  decisions,
  isOwner,
}: ResponseMessage): ScheduleResponse => ({
  isOwner,
  decisions: decisions.map(readDecision).filter((decision) => decision !== null),
});

/** Converts a delivered decision to its protobuf message. */
export const buildDeliveryMessage = ({
  decision,
  service,
}: DeliveredDecision): DeliverDecisionRequest =>
  create(DeliverDecisionRequestSchema, { service, decision: buildDecision(decision) });

/** Converts a protobuf message to a delivered decision; null if it is malformed. */
export const readDeliveryMessage = (message: DeliverDecisionRequest): DeliveredDecision | null => {
  const { service } = message;
  const decision = message.decision ? readDecision(message.decision) : null;
  return service === '' || decision === null ? null : { service, decision };
};
