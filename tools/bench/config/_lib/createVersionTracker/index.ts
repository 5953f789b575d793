/** Tracks the configuration versions in force at the entries. */
export interface VersionTracker {
  /** Records that a version is in force at an entry. */
  recordVersion(vm: string, version: number): void;
  /** Records that an entry stopped: `waitForAll` ignores it until it starts again. */
  recordStop(vm: string): void;
  /** Records that an entry starts; a version below that before its restart counts as a revert. */
  recordStart(vm: string): void;
  /** Resolves with the time at which every running entry has at least the version. */
  waitForAll(version: number): Promise<number>;
  countReverts(): number;
}

interface Waiter {
  readonly version: number;
  readonly resolve: (atMs: number) => void;
}

/** Creates a tracker; its times are those of `performance.now()`. */
export function createVersionTracker(): VersionTracker {
  const current = new Map<string, number>();
  const highest = new Map<string, number>();
  let waiters: readonly Waiter[] = [];
  let reverts = 0;

  const resolveWaiters = (): void => {
    const lowest = Math.min(...current.values());
    const [done, open] = [
      waiters.filter(({ version }) => version <= lowest),
      waiters.filter(({ version }) => version > lowest),
    ];
    waiters = open;
    done.forEach(({ resolve }) => resolve(performance.now()));
  };

  return {
    recordVersion: (vm, version) => {
      const before = highest.get(vm) ?? 0;
      reverts += version < before ? 1 : 0;
      highest.set(vm, Math.max(before, version));
      current.set(vm, version);
      resolveWaiters();
    },
    recordStop: (vm) => {
      current.delete(vm);
      resolveWaiters();
    },
    recordStart: (vm) => {
      current.set(vm, 0);
    },
    waitForAll: (version) =>
      new Promise((resolve) => {
        waiters = [...waiters, { version, resolve }];
        resolveWaiters();
      }),
    countReverts: () => reverts,
  };
}
