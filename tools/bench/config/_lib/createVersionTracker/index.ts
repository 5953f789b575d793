/** Follows the versions that entries report as in force. */
export interface VersionTracker {
  /** An entry has a version in force. */
  recordVersion(vm: string, version: number): void;
  /** An entry has stopped: it is not waited for until it starts again. */
  recordStop(vm: string): void;
  /** An entry starts; the version before its restart is still the least that it may show. */
  recordStart(vm: string): void;
  /** Resolves once every running entry has the version, with the time of the last one. */
  waitForAll(version: number): Promise<number>;
  countReverts(): number;
}

interface Waiter {
  readonly version: number;
  readonly resolve: (atMs: number) => void;
}

/** Creates a tracker; times are of `performance.now()`. */
export function createVersionTracker(): VersionTracker {
  const current = new Map<string, number>();
  const highest = new Map<string, number>();
  let waiters: readonly Waiter[] = [];
  let reverts = 0;

  const settle = (): void => {
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
      settle();
    },
    recordStop: (vm) => {
      current.delete(vm);
      settle();
    },
    recordStart: (vm) => {
      current.set(vm, 0);
    },
    waitForAll: (version) =>
      new Promise((resolve) => {
        waiters = [...waiters, { version, resolve }];
        settle();
      }),
    countReverts: () => reverts,
  };
}
