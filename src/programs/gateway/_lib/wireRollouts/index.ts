import { createRolloutCodec, decodeRolloutOrder, type StoreClient } from '../../../../../platform';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import {
  createRolloutJudge,
  createVerdictStore,
  createRolloutRegistry,
  createTrialReporter,
  type RolloutJudge,
  type RolloutPeer,
  type RolloutRegistry,
  type TrialReport,
  type TrialReporter,
} from '../../../../application/rollouts';
import type { ServerDirectory } from '../../../../application/forwarding';
import type { GatewaySettings } from '../../../../domain/forwarding';
import type { RolloutVerdict } from '../../../../domain/rollouts';

/** Dependencies of the rollout parts. */
export interface RolloutPartsDependencies {
  readonly settings: Pick<GatewaySettings, 'bounds' | 'vm'>;
  readonly clock: Clock;
  readonly directory: Pick<ServerDirectory, 'listServing'>;
  readonly listPeers: () => readonly RolloutPeer[];
  /** Reads which part of the bounds this VM may use, 0 to 1. */
  readonly readShare: () => number;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly sendReport: (address: string, report: TrialReport) => Promise<RolloutVerdict | null>;
  readonly store: StoreClient;
  readonly publishVerdict: (verdict: RolloutVerdict) => void;
}

/** Parts that roll out new versions of services. */
export interface RolloutParts {
  readonly rollouts: RolloutRegistry;
  readonly judge: RolloutJudge;
}

/** Wires the parts that roll out new versions of services. */
export const wireRollouts = ({
  clock,
  directory,
  listPeers,
  log,
  randomness,
  readShare,
  sendReport,
  settings,
  store,
  publishVerdict,
}: RolloutPartsDependencies): RolloutParts => {
  const { bounds, vm: self } = settings;
  let watch: RolloutJudge['watch'] = () => undefined;
  let recordEvidence: TrialReporter['recordEvidence'] = () => undefined;
  const rollouts = createRolloutRegistry({
    decodeOrder: decodeRolloutOrder,
    bounds,
    listServing: directory.listServing,
    readShare,
    clock,
    log,
    randomness,
    broadcastVerdict: publishVerdict,
    handleChange: (service) => watch(service),
    handleEvidence: (service) => recordEvidence(service),
  });
  const codec = createRolloutCodec();
  const rows = createVerdictStore({ codec, store, rollouts, clock, log });
  const judge = createRolloutJudge({ self, listPeers, rollouts, verdictStore: rows, clock, log });
  const reporter = createTrialReporter({
    self,
    incarnation: String(clock.readWallMs()),
    listPeers,
    sendReport,
    judge,
    rollouts,
    clock,
    log,
  });
  watch = judge.watch;
  recordEvidence = reporter.recordEvidence;
  return { rollouts, judge };
};
