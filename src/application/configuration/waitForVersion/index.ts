import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../../ports';
import { waitDelay } from '../../time';

/** Interval between two reads of the VMs' versions, in milliseconds. */
const PROGRESS_INTERVAL_MS = 250;

/** A VM that should have the version in force. */
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

/** Progress of a version across the VMs. */
export interface VersionProgress {
  readonly version: number;
  readonly vmsTotal: number;
  readonly lagging: readonly LaggingVm[];
  readonly elapsedMs: number;
}

/** Dependencies of the wait. */
export interface WaitForVersionDependencies {
  readonly clock: Clock;
  /** Lists the VMs that should have the version; a VM that leaves the list is not waited for. */
  listVms(): Promise<readonly TargetVm[]>;
  /** Reads the version in force at a VM; null if the VM does not answer. */
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
 * @param options.timeoutMs - time limit of the wait
 * @param options.onProgress - called after each read of the versions
 * @returns the last progress; as an error if VMs still lag, or none is known, at the timeout
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
    // An empty list may mean that the list could not be read, so it proves nothing.
    if (progress.vmsTotal > 0 && progress.lagging.length === 0) {
      return ok(progress);
    }
    if (progress.elapsedMs >= options.timeoutMs) {
      return err(progress);
    }
    await waitDelay(deps.clock, PROGRESS_INTERVAL_MS);
  }
}
