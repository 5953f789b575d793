import type { CancelQueue } from '../_lib/createCancelQueue';
import type { PaceHistory } from '../../_lib/createPaceHistory';
import type { ServerActivity } from '../_lib/createServerActivity';
import type { PendingEnds } from '../_lib/createPendingEnds';
import type { RunStore } from '../_lib/createRunStore';
import type { GenerationsDependencies } from './GenerationsDependencies';
import type { GenerationRun } from './GenerationRun';

/** What the parts of the generations share. */
export interface GenerationsContext {
  readonly dependencies: GenerationsDependencies;
  readonly cancelQueue: CancelQueue;
  readonly paces: PaceHistory;
  readonly serverActivity: ServerActivity;
  readonly store: RunStore;
  readonly pendingEnds: PendingEnds;
  /** Holds a run and keeps it under watch. */
  addRun(run: GenerationRun, keyDigest?: string): void;
}
