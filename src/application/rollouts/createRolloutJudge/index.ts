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

/** What a judge needs. */
export interface RolloutJudgeDependencies {
  /** Name of this VM. */
  readonly self: string;
  readonly listPeers: () => readonly RolloutPeer[];
  readonly rollouts: Pick<RolloutRegistry, 'applyVerdict' | 'find'>;
  readonly verdictStore: VerdictStore;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Judges roll-outs for all VMs where it falls to this one. */
export interface RolloutJudge {
  /** A roll-out is under way, or its verdict changed. */
  watch(service: string): void;
  /** Takes what a VM has seen; returns the verdict, null if the order is not known here. */
  handleReport(report: TrialReport): RolloutVerdict | null;
  /** Whether this VM is the first to judge a service's roll-out. */
  isPrimaryJudge(service: string): boolean;
  stop(): void;
}

/** A lookup's answer at a version that fails is followed by others within this time. */
const LOOK_MS = 250;

/** VMs that judge a roll-out, in order: the next one does where the first does not answer. */
export const listJudges = (vms: readonly string[], service: string): readonly string[] =>
  chooseOwners(vms, `rollout ${service}`, 3);

/**
 * Creates the judge of this VM.
 *
 * No VM is set aside: all work out by the same rule who judges, from those that they have heard of, and
 * a VM that gets a report judges by what it was told. Two that judge at the same time each see a part;
 * reports hold all that their sender has seen, so that the next one begins with the whole.
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
  /** By service, then by sender. */
  const reportsOf = new Map<string, Map<string, TrialReport>>();
  let stopLoop: (() => void) | null = null;

  const isFirst = (service: string): boolean =>
    listJudges([self, ...listPeers().map(({ vm }) => vm)], service)[0] === self;

  const listReports = ({ order }: RolloutSnapshot): readonly TrialReport[] =>
    [...(reportsOf.get(order.service)?.values() ?? [])].filter(
      ({ sequence }) => sequence === order.sequence,
    );

  /** Decides the next state by what is known here. */
  const judge = (known: RolloutSnapshot): void => {
    const { ageMs, hasEstablished, order, switchedMs, verdict } = known;
    if (ageMs === null) return;
    const reports = listReports(known);
    const tallies = sumTallies([known.tallies, ...reports.map((report) => report.tallies)]);
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

  /** One that is final, and that the store holds, needs no judge. */
  const isOver = ({ verdict }: RolloutSnapshot): boolean =>
    verdict.isStored &&
    (verdict.state === RolloutState.Completed || verdict.state === RolloutState.Reverted);

  const look = (service: string): void => {
    const known = rollouts.find(service);
    if (!known || isOver(known)) {
      watched.delete(service);
      reportsOf.delete(service);
      return;
    }
    if (known.ageMs === null) verdictStore.readVerdict(known);
    if (!isFirst(service) && listReports(known).length === 0) return;
    judge(known);
    const judged = rollouts.find(service);
    if (judged && judged.ageMs !== null) verdictStore.writeVerdict(judged);
  };

  const startLooking = (): void => {
    stopLoop ??= startLoop({
      clock,
      firstDelayMs: 0,
      runStep: async () => {
        [...watched].forEach(look);
        if (watched.size > 0) return LOOK_MS;
        stopLoop = null;
        return null;
      },
      handleFailure: (reason) => {
        log.error('rollout judge failed unexpectedly', { reason });
        return LOOK_MS;
      },
    });
  };

  return {
    watch: (service) => {
      watched.add(service);
      startLooking();
    },
    handleReport: (report) => {
      const known = rollouts.find(report.service);
      if (known?.order.sequence !== report.sequence) return null;
      if (report.sender !== self) {
        const reports = reportsOf.get(report.service) ?? new Map<string, TrialReport>();
        reportsOf.set(report.service, reports.set(report.sender, report));
      }
      judge(known);
      return rollouts.find(report.service)?.verdict ?? null;
    },
    isPrimaryJudge: isFirst,
    stop: () => stopLoop?.(),
  };
};
