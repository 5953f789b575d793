import type { StandInPlatform } from '../../../../../standins/platform';
import type { AcceptedApply, Operator } from '../createOperator';
import type { VersionTracker } from '../createVersionTracker';
import type { Fleet } from '../startFleet';

/** Every this many rounds, an answer of the table to a completed write is lost. */
const LOSE_ANSWER_EVERY = 5;
/** Every this many rounds, an entry is restarted while the change propagates. */
const RESTART_EVERY = 8;

/** Dependencies of the rounds. */
export interface ChangesDependencies {
  readonly platform: StandInPlatform;
  readonly fleet: Fleet;
  readonly tracker: VersionTracker;
  readonly operators: readonly Operator[];
  readonly entries: number;
}

async function measureSpread(tracker: VersionTracker, accepted: AcceptedApply): Promise<number> {
  const doneAtMs = await tracker.waitForAll(accepted.row.version);
  return Math.max(0, doneAtMs - accepted.atMs);
}

/**
 * Runs rounds in which all operators apply a change concurrently; after a conflict, an operator
 * applies again on top of the accepted version.
 *
 * @returns time from each accepted apply until it was in force at every running entry
 */
export async function runChanges(
  deps: ChangesDependencies,
  rounds: number,
): Promise<readonly number[]> {
  const samples: number[] = [];
  for (let round = 1; round <= rounds; round += 1) {
    if (round % LOSE_ANSWER_EVERY === 0) {
      await deps.platform.table.setFaults({ loseAnswers: 1 });
    }
    const restarted =
      round % RESTART_EVERY === 0
        ? deps.fleet.restartEntry((round / RESTART_EVERY) % deps.entries)
        : Promise.resolve();
    const spread = deps.operators.map(async (operator) =>
      measureSpread(deps.tracker, await operator.applyUntilAccepted()),
    );
    samples.push(...(await Promise.all(spread)));
    await restarted;
  }
  return samples;
}
