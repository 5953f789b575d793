import {
  sumTallies,
  decideRollout,
  judgeVersion,
  RolloutState,
  type RolloutVerdict,
} from '../../../domain/rollouts';
import { chooseOwners } from '../../../domain/membership';
import type { Clock, EventLog } from '../../ports';
import { startLoop } from '../../time';
import type { VerdictStore } from '../createVerdictStore';
import type { RolloutSnapshot, RolloutRegistry } from '../createRolloutRegistry';
import type { RolloutPeer, TrialReport } from '../types';

/** Dependencies of the rollout judge. */
export interface RolloutJudgeDependencies {
  /** Name of this VM. */
  readonly self: string;
  readonly listPeers: () => readonly RolloutPeer[];
  readonly rollouts: Pick<RolloutRegistry, 'applyVerdict' | 'find'>;
  readonly verdictStore: VerdictStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Judges the rollouts that are assigned to this VM, on behalf of all VMs. */
export interface RolloutJudge {
  /** Starts to evaluate the rollout of a service, after an order or a change of its verdict. */
  watch(service: string): void;
  /** Takes the report of a VM; returns the verdict, or null if this VM does not know the order. */
  handleReport(report: TrialReport): RolloutVerdict | null;
  /** True if this VM is the primary judge of the rollout of a service. */
  isPrimaryJudge(service: string): boolean;
  stop(): void;
}

/** Time between two evaluations; further answers of a failing version arrive within it. */
const EVALUATION_INTERVAL_MS = 250;

/** Lists the VMs that may judge a rollout; each one is asked if those before do not answer. */
export const listJudges = (vms: readonly string[], service: string): readonly string[] =>
  chooseOwners(vms, `rollout ${service}`, 3);

/**
 * Creates the rollout judge of this VM.
 *
 * There is no elected judge: each VM computes the judges from its list of live VMs by the same
 * rendezvous hash, and a VM that receives a report judges by the reports it has. Two concurrent
 * judges each see a part of the outcomes. Reports are cumulative, so that a new judge soon has them
 * all.
 */
export const createRolloutJudge = ({
  clock,
  listPeers,
  log,
  rollouts,
  verdictStore,
  self,
}: RolloutJudgeDependencies): RolloutJudge => {
  const watched = new Set<string>();
  /** Newest reports, by service and sender. */
  const reportsByService = new Map<string, Map<string, TrialReport>>();
  let stopLoop: (() => void) | null = null;

  const isPrimary = (service: string): boolean =>
    listJudges([self, ...listPeers().map(({ vm }) => vm)], service)[0] === self;

  const listReports = ({ order }: RolloutSnapshot): readonly TrialReport[] =>
    [...(reportsByService.get(order.service)?.values() ?? [])].filter(
      ({ sequence }) => sequence === order.sequence,
    );

  /** Decides the next state from the own tallies and the reports received. */
  const judge = (rollout: RolloutSnapshot): void => {
    const { ageMs, hasEstablished, order, switchedMs, verdict } = rollout;
    if (ageMs === null) return;
    const reports = listReports(rollout);
    const tallies = sumTallies([rollout.tallies, ...reports.map((report) => report.tallies)]);
    const judgement = judgeVersion(tallies);
    const next = decideRollout({
      state: verdict.state,
      ageMs,
      durationMs: order.durationMs,
      switchedMs,
      judgement,
      hasEstablished,
    });
    if (next === verdict.state) return;
    log.info('rollout judged', {
      service: order.service,
      to: order.to,
      from: verdict.state,
      state: next,
      ageMs: Math.round(ageMs),
      reports: reports.length,
      judgement: judgement.kind,
      reason: judgement.kind === 'sound' ? '' : judgement.reason,
      tallies: JSON.stringify([...tallies]),
    });
    rollouts.applyVerdict({ ...verdict, state: next, isStored: false });
  };

  /** A rollout with a final, stored verdict needs no judge. */
  const isOver = ({ verdict }: RolloutSnapshot): boolean =>
    verdict.isStored &&
    (verdict.state === RolloutState.Completed || verdict.state === RolloutState.Reverted);

  const evaluate = (service: string): void => {
    const rollout = rollouts.find(service);
    if (!rollout || isOver(rollout)) {
      watched.delete(service);
      reportsByService.delete(service);
      return;
    }
    if (rollout.ageMs === null) verdictStore.readVerdict(rollout);
    if (!isPrimary(service) && listReports(rollout).length === 0) return;
    judge(rollout);
    const evaluated = rollouts.find(service);
    if (evaluated && evaluated.ageMs !== null) verdictStore.writeVerdict(evaluated);
  };

  const startEvaluating = (): void => {
    stopLoop ??= startLoop({
      clock,
      firstDelayMs: 0,
      runStep: async () => {
        [...watched].forEach(evaluate);
        if (watched.size > 0) return EVALUATION_INTERVAL_MS;
        stopLoop = null;
        return null;
      },
      handleFailure: (reason) => {
        log.error('rollout judge failed unexpectedly', { reason });
        return EVALUATION_INTERVAL_MS;
      },
    });
  };

  return {
    watch: (service) => {
      watched.add(service);
      startEvaluating();
    },
    handleReport: (report) => {
      const rollout = rollouts.find(report.service);
      if (rollout?.order.sequence !== report.sequence) return null;
      if (report.sender !== self) {
        const reports = reportsByService.get(report.service) ?? new Map<string, TrialReport>();
        reportsByService.set(report.service, reports.set(report.sender, report));
      }
      judge(rollout);
      return rollouts.find(report.service)?.verdict ?? null;
    },
    isPrimaryJudge: isPrimary,
    stop: () => stopLoop?.(),
  };
};
