import type { GatewayParts } from '../../types';

const CHECK_INTERVAL_MS = 50;

/** Time after which the work of a start is done, and its cost is logged. */
const SETTLED_MS = 5000;

const BYTES_PER_MB = 1024 * 1024;

/** Reads the processor time of this process in milliseconds. */
const readCpuMs = (): number => {
  const { system, user } = process.cpuUsage();
  return Math.round((system + user) / 1000);
};

/** Dependencies of `logReady`. */
export interface LogReadyDependencies extends Pick<
  GatewayParts,
  'clock' | 'directory' | 'log' | 'metrics' | 'tables'
> {
  readonly isReady: () => boolean;
}

/**
 * Logs when the gateway first becomes ready: the time since its start, CPU time and memory; and some
 * seconds later what it has cost so far, with its questions to servers and other VMs.
 *
 * @returns a function that stops the checks
 */
export const logReady = ({
  clock,
  directory,
  isReady,
  log,
  metrics,
  tables,
}: LogReadyDependencies): (() => void) => {
  const startedAtMs = clock.readMonotonicMs();
  let cancelTimer = (): void => undefined;
  const checkReadiness = (): void => {
    if (!isReady()) {
      cancelTimer = clock.startTimer(CHECK_INTERVAL_MS, checkReadiness);
      return;
    }
    log.info('gateway ready', {
      tookMs: Math.round(clock.readMonotonicMs() - startedAtMs),
      cpuMs: readCpuMs(),
      residentMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
      configuration: tables.readCurrent()?.version ?? 0,
      servers: directory.countServing(),
    });
    cancelTimer = clock.startTimer(SETTLED_MS, () =>
      log.info('gateway settled', { cpuMs: readCpuMs(), ...metrics.readQueryCounts() }),
    );
  };
  checkReadiness();
  return () => cancelTimer();
};
