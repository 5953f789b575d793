import type { Load } from '../startLoad';
import { waitMs } from '../waitMs';
import type { ChangesDependencies } from '../runChanges';

/** Kinds of outages of the table, in order. */
const OUTAGES = ['refuse', 'hang', 'error'] as const;

/** Result of the outages; times in milliseconds. */
export interface OutageOutcome {
  readonly outageMs: number;
  readonly attempts: readonly string[];
  readonly bootMs: readonly number[];
}

/**
 * Runs an outage of each kind; during each, restarts an entry and lets an operator apply a change.
 *
 * @param durationMs - total duration of the outages
 * @returns duration of the outages; outcomes of the operator's attempts; time from the restart of
 *   an entry until it had a configuration again, which it could only get from its peers
 */
export async function runOutage(
  deps: ChangesDependencies,
  load: Load,
  durationMs: number,
): Promise<OutageOutcome> {
  const attempts: string[] = [];
  const bootMs: number[] = [];
  const version = deps.operators.reduce(
    (newest, operator) => Math.max(newest, operator.listAccepted().at(-1)?.row.version ?? 0),
    0,
  );
  let outageMs = 0;
  for (const [index, outage] of OUTAGES.entries()) {
    const startedAtMs = performance.now();
    await deps.platform.table.setFaults({ outage });
    load.setMarked(true);
    const attempt = deps.operators[0]?.applyChange();
    const restarted = deps.fleet
      .restartEntry(index)
      .then(() => deps.tracker.waitForAll(version))
      .then((atMs) => bootMs.push(Math.round(atMs - startedAtMs)));
    await waitMs(durationMs / OUTAGES.length);
    load.setMarked(false);
    await deps.platform.table.setFaults({ outage: 'none' });
    outageMs += performance.now() - startedAtMs;
    const outcome = await attempt;
    attempts.push(typeof outcome === 'string' ? outcome : 'accepted');
    await restarted;
  }
  return { outageMs, attempts, bootMs };
}
