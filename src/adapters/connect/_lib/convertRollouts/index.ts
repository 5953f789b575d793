import { create } from '@bufbuild/protobuf';
import type { TrialReport } from '../../../../application/rollouts';
import { RolloutState, type RolloutVerdict, type VersionTally } from '../../../../domain/rollouts';
import {
  ReportTrialRequestSchema,
  RolloutVerdictSchema,
  type ReportTrialRequest,
  type RolloutVerdict as RolloutVerdictMessage,
  type VersionTally as VersionTallyMessage,
} from '../../gen/gateway_pb';

const STATES_BY_NAME: ReadonlyMap<string, RolloutState> = new Map(
  Object.values(RolloutState).map((state) => [state, state]),
);

/** Converts a rollout verdict to its protobuf message. */
export const buildVerdictMessage = (verdict: RolloutVerdict): RolloutVerdictMessage =>
  create(RolloutVerdictSchema, { ...verdict, sequence: BigInt(verdict.sequence) });

/** Converts a protobuf message to a rollout verdict; null if this version lacks its state. */
export const readVerdictMessage = ({
  isStored,
  sequence,
  service,
  state,
  to,
}: RolloutVerdictMessage): RolloutVerdict | null => {
  const knownState = STATES_BY_NAME.get(state);
  return knownState
    ? { service, to, sequence: Number(sequence), state: knownState, isStored }
    : null;
};

/** Converts a trial report to its protobuf message. */
export const buildReportMessage = (report: TrialReport): ReportTrialRequest =>
  create(ReportTrialRequestSchema, {
    sender: report.sender,
    service: report.service,
    sequence: BigInt(report.sequence),
    tallies: [...report.tallies].map(([route, tally]) => ({ route, ...tally })),
  });

const readTally = (message: VersionTallyMessage | undefined): VersionTally => ({
  requests: message?.requests ?? 0,
  poor: message?.poor ?? 0,
});

/** Converts a protobuf message to a trial report. */
export const readReportMessage = ({
  sender,
  sequence,
  service,
  tallies,
}: ReportTrialRequest): TrialReport => ({
  sender,
  service,
  sequence: Number(sequence),
  tallies: new Map(
    tallies.map(({ candidate, established, route }) => [
      route,
      { established: readTally(established), candidate: readTally(candidate) },
    ]),
  ),
});
