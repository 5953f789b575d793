import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../../ports';
import { waitDelay } from '../../time';

/** Time between two questions to the VMs that lag, in milliseconds. */
const ASK_INTERVAL_MS = 250;

/** A VM that is to have the version in force. */
export interface TargetVm {
  readonly vm: string;
  readonly peerAddress: string;
}

/** A VM that does not have the version in force. */
export interface LaggingVm {
  readonly vm: string;
  /** Version in force there; null if it does not answer. */
  readonly version: number | null;
}

/** How far a version has come. */
export interface VersionProgress {
  readonly version: number;
  readonly vmsTotal: number;
  readonly lagging: readonly LaggingVm[];
  readonly elapsedMs: number;
}

/** What the wait needs. */
export interface WaitForVersionDependencies {
  readonly clock: Clock;
  /** VMs that should have it, as known right now; a VM that leaves the list is not waited for. */
  listVms(): Promise<readonly TargetVm[]>;
  /** Version in force at a VM; null if it does not answer. */
  readVersionAt(peerAddress: string): Promise<number | null>;
}

async function readProgress(
  deps: WaitForVersionDependencies,
  version: number,
  startedAtMs: number,
): Promise<VersionProgress> {
  const vms = await deps.listVms();
  const versions = await Promise.all(
    vms.map(async ({ vm, peerAddress }) => ({
      vm,
      version: await deps.readVersionAt(peerAddress),
    })),
  );
  return {
    version,
    vmsTotal: vms.length,
    lagging: versions.filter((held) => (held.version ?? 0) < version),
    elapsedMs: deps.clock.readMonotonicMs() - startedAtMs,
  };
}

/**
 * Waits until every VM has a version, or a higher one, in force.
 *
 * @param options.timeoutMs - bound on the wait
 * @param options.onProgress - called after each round of questions
 * @returns the last progress; as an error if VMs lag, or none is known, when the time is over
 */
export async function waitForVersion(
  deps: WaitForVersionDependencies,
  version: number,
  options: {
    readonly timeoutMs: number;
    readonly onProgress: (progress: VersionProgress) => void;
  },
): Promise<Result<VersionProgress, VersionProgress>> {
  const startedAtMs = deps.clock.readMonotonicMs();
  for (;;) {
    const progress = await readProgress(deps, version, startedAtMs);
    options.onProgress(progress);
    // An empty list may be a list that did not answer: it proves nothing.
    if (progress.vmsTotal > 0 && progress.lagging.length === 0) {
      return ok(progress);
    }
    if (progress.elapsedMs >= options.timeoutMs) {
      return err(progress);
    }
    await waitDelay(deps.clock, ASK_INTERVAL_MS);
  }
}
