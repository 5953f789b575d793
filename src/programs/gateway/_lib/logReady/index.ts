import type { GatewayParts } from '../../types';

const CHECK_INTERVAL_MS = 50;

const BYTES_PER_MB = 1024 * 1024;

/** Dependencies of `logReady`. */
export interface LogReadyDependencies extends Pick<
  GatewayParts,
  'clock' | 'directory' | 'log' | 'tables'
> {
  readonly isReady: () => boolean;
}

/**
 * Logs when the gateway first becomes ready: the time since its start, CPU time and memory.
 *
 * @returns a function that stops the checks
 */
export const logReady = ({
  clock,
  directory,
  isReady,
  log,
  tables,
}: LogReadyDependencies): (() => void) => {
  const startedAtMs = clock.readMonotonicMs();
  let cancelTimer = (): void => undefined;
  const checkReadiness = (): void => {
    if (!isReady()) {
      cancelTimer = clock.startTimer(CHECK_INTERVAL_MS, checkReadiness);
      return;
    }
    const { system, user } = process.cpuUsage();
    log.info('gateway ready', {
      tookMs: Math.round(clock.readMonotonicMs() - startedAtMs),
      cpuMs: Math.round((system + user) / 1000),
      residentMb: Math.round(process.memoryUsage.rss() / BYTES_PER_MB),
      configuration: tables.readCurrent()?.version ?? 0,
      servers: directory.countServing(),
    });
  };
  checkReadiness();
  return () => cancelTimer();
};
