import type { RolloutVerdict } from '../../../domain/rollouts';
import type { Clock, EventLog } from '../../ports';
import { startLoop } from '../../time';
import { listJudges, type RolloutJudge } from '../createRolloutJudge';
import type { RolloutRegistry } from '../createRolloutRegistry';
import type { RolloutPeer, TrialReport } from '../types';

/** Dependencies of the trial reporter. */
export interface TrialReporterDependencies {
  /** Name of this VM. */
  readonly self: string;
  /** Identifies this start of the process. */
  readonly incarnation: string;
  readonly listPeers: () => readonly RolloutPeer[];
  /** Sends a report; null if the VM does not answer in time or does not know the order. */
  readonly sendReport: (address: string, report: TrialReport) => Promise<RolloutVerdict | null>;
  readonly judge: Pick<RolloutJudge, 'handleReport'>;
  readonly rollouts: Pick<RolloutRegistry, 'find' | 'mergeVerdict' | 'setTrialsPaused'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Reports the outcomes of this VM at servers of the new version to the judge of the rollout. */
export interface TrialReporter {
  recordEvidence(service: string): void;
}

/** Outcomes within this time are sent in one report. */
const BATCH_DELAY_MS = 50;

/** Time until a report that no judge accepted is sent again; trials pause meanwhile. */
const RETRY_MS = 300;

/** Creates the trial reporter of this VM. */
export const createTrialReporter = ({
  clock,
  incarnation,
  judge,
  listPeers,
  log,
  rollouts,
  self,
  sendReport,
}: TrialReporterDependencies): TrialReporter => {
  /** Services whose report is due or in flight, and whether there are newer outcomes. */
  const pending = new Map<string, { hasMore: boolean }>();

  /** Sends the report to the candidate judges in order; null if none accepted it. */
  const sendToJudge = async (service: string): Promise<RolloutVerdict | null> => {
    const rollout = rollouts.find(service);
    if (!rollout) return null;
    pending.set(service, { hasMore: false });
    const { order, tallies } = rollout;
    const peers = listPeers();
    const ownReport = { sender: self, service, sequence: order.sequence, tallies };
    for (const vm of listJudges([self, ...peers.map((peer) => peer.vm)], service)) {
      if (vm === self) return judge.handleReport(ownReport);
      const address = peers.find((peer) => peer.vm === vm)?.address ?? '';
      const verdict = await sendReport(address, { ...ownReport, sender: `${self} ${incarnation}` });
      if (verdict) return verdict;
    }
    return null;
  };

  /** Reports once; returns the delay until the next report, or null if there is none to send. */
  const runStep = async (service: string): Promise<number | null> => {
    // A finished rollout has no judge.
    const isOver = rollouts.find(service)?.verdict.isStored ?? true;
    const verdict = isOver ? null : await sendToJudge(service);
    if (isOver) {
      pending.delete(service);
      return null;
    }
    if (verdict) rollouts.mergeVerdict(verdict);
    // Without a report the other VMs do not learn of failed trials, so this VM sends no more.
    rollouts.setTrialsPaused(service, verdict === null);
    if (verdict === null) {
      log.warn('trial report not taken', { service });
      return RETRY_MS;
    }
    if (pending.get(service)?.hasMore) return BATCH_DELAY_MS;
    pending.delete(service);
    return null;
  };

  return {
    recordEvidence: (service) => {
      const state = pending.get(service);
      if (state) {
        state.hasMore = true;
        return;
      }
      pending.set(service, { hasMore: false });
      startLoop({
        clock,
        firstDelayMs: BATCH_DELAY_MS,
        runStep: () => runStep(service),
        handleFailure: (reason) => {
          log.error('trial report failed unexpectedly', { service, reason });
          return RETRY_MS;
        },
      });
    },
  };
};
