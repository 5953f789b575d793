import { formatRequestClass, type ScheduleDecision } from '../../../../../domain/scheduling';
import type { Clock, EventLog } from '../../../../ports';
import type { SchedulingMeter } from '../../../types';
import type { QueuedDemand } from '../createDemandQueue';
import { readTimesAt } from '../readTimesAt';

/** What a decision was made from, besides the demand. */
export interface DecisionInputs {
  /** Waiting demands after the decision. */
  readonly waiting: number;
  /** Rate at which starts become possible; -1 if the decision did not need it. */
  readonly startsPerS: number;
  /** State of the chosen server before the stream; -1 where none was chosen. */
  readonly runs: number;
  readonly kvUsed: number;
  readonly reportAgeMs: number;
}

/** What the record needs. */
export interface DecisionRecordDependencies {
  readonly service: string;
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  readonly meter: SchedulingMeter;
}

/** Records decisions in the log and the metrics. */
export interface DecisionRecord {
  record(entry: QueuedDemand, decision: ScheduleDecision, inputs: DecisionInputs): void;
}

const MESSAGES: Readonly<Record<ScheduleDecision['kind'], string>> = {
  send: 'stream scheduled',
  wait: 'stream queued',
  refuse: 'stream refused by scheduler',
};

/** Creates the record of a scheduler's decisions. */
export const createDecisionRecord = ({
  clock,
  log,
  meter,
  service,
}: DecisionRecordDependencies): DecisionRecord => ({
  record: (entry, decision, inputs) => {
    const times = readTimesAt(entry, clock.readMonotonicMs());
    const { kind, ...fields } = decision;
    log.info(MESSAGES[kind], {
      service,
      ...fields,
      backup: ('backup' in fields && fields.backup) || '',
      ...inputs,
      startsPerS: Math.round(inputs.startsPerS * 10) / 10,
      requestClass: formatRequestClass(entry.requestClass),
      waitedMs: Math.round(times.waitedMs),
      goalLeftMs: Math.round(times.goalLeftMs),
      leftMs: Math.round(times.leftMs),
    });
    meter.recordDecision(entry.requestClass, entry.demand.workspace, kind, times.waitedMs);
  },
});
