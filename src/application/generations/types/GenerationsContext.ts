import type { CancelQueue } from '../_lib/createCancelQueue';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { PendingWrites } from '../_lib/createPendingWrites';
import type { RunStore } from '../_lib/createRunStore';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { GenerationRun } from './GenerationRun';

/** Context shared by all generations of this VM. */
export interface GenerationsContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly store: RunStore;
  readonly pendingWrites: PendingWrites;
  /** Adds a run to the store and starts the sweeper. */
  addRun(run: GenerationRun, keyDigest?: string): void;
}
