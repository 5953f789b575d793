import type { CancelQueue } from '../_lib/createCancelQueue';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { PendingWrites } from '../_lib/createPendingWrites';
import type { RunStore } from '../_lib/createRunStore';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { GenerationRun } from './GenerationRun';

/** What the parts of the generations share. */
export interface GenerationsContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly latencyHistory: LatencyHistory;
  readonly serverActivity: ServerActivity;
  readonly store: RunStore;
  readonly pendingWrites: PendingWrites;
  /** Holds a run and keeps it under watch. */
  addRun(run: GenerationRun, keyDigest?: string): void;
}
