import type { RolloutVerdict } from '../../../domain/rollouts';
import type { Clock, EventLog } from '../../ports';
import { startLoop } from '../../time';
import { listJudges, type RolloutJudge } from '../createRolloutJudge';
import type { RolloutRegistry } from '../createRolloutRegistry';
import type { RolloutPeer, TrialReport } from '../types';

/** What a reporter needs. */
export interface TrialReporterDependencies {
  /** Name of this VM. */
  readonly self: string;
  /** Differs between two starts of a process. */
  readonly incarnation: string;
  readonly listPeers: () => readonly RolloutPeer[];
  /** Null if the VM does not answer in time, or does not know the order. */
  readonly sendReport: (address: string, report: TrialReport) => Promise<RolloutVerdict | null>;
  readonly judge: Pick<RolloutJudge, 'handleReport'>;
  readonly rollouts: Pick<RolloutRegistry, 'find' | 'mergeVerdict' | 'setTrialsPaused'>;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Tells the judge of a roll-out what this VM has seen at servers of the new version. */
export interface TrialReporter {
  recordEvidence(service: string): void;
}

/** Results that come within this time go out together. */
const GATHER_MS = 50;

/** Time until a report that nobody took is sent again; nothing is tried meanwhile. */
const RETRY_MS = 300;

/** Creates the reporter of this VM. */
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
  /** Services whose report is due or on its way, and whether there is more to tell. */
  const pending = new Map<string, { hasMore: boolean }>();

  /** Asks the VMs that may judge, in order; null if none took the report. */
  const report = async (service: string): Promise<RolloutVerdict | null> => {
    const known = rollouts.find(service);
    if (!known) return null;
    pending.set(service, { hasMore: false });
    const { order, tallies } = known;
    const peers = listPeers();
    const sent = { sender: self, service, sequence: order.sequence, tallies };
    for (const vm of listJudges([self, ...peers.map((peer) => peer.vm)], service)) {
      if (vm === self) return judge.handleReport(sent);
      const address = peers.find((peer) => peer.vm === vm)?.address ?? '';
      const verdict = await sendReport(address, { ...sent, sender: `${self} ${incarnation}` });
      if (verdict) return verdict;
    }
    return null;
  };

  /** Reports once; returns when to do so again, or null if there is no more to tell. */
  const runStep = async (service: string): Promise<number | null> => {
    // A roll-out that is over has nobody to report to.
    const isOver = rollouts.find(service)?.verdict.isStored ?? true;
    const verdict = isOver ? null : await report(service);
    if (isOver) {
      pending.delete(service);
      return null;
    }
    if (verdict) rollouts.mergeVerdict(verdict);
    // A VM that can't tell what it saw must not go on to try: the others would not learn of it.
    rollouts.setTrialsPaused(service, verdict === null);
    if (verdict === null) {
      log.warn('trial report not taken', { service });
      return RETRY_MS;
    }
    if (pending.get(service)?.hasMore) return GATHER_MS;
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
        firstDelayMs: GATHER_MS,
        runStep: () => runStep(service),
        handleFailure: (reason) => {
          log.error('trial report failed unexpectedly', { service, reason });
          return RETRY_MS;
        },
      });
    },
  };
};
