import type { GatewayParts } from '../../types';

const LOOK_MS = 50;

const BYTES_PER_MB = 1024 * 1024;

/** What is looked at. */
export interface LogReadyDependencies extends Pick<
  GatewayParts,
  'clock' | 'directory' | 'log' | 'tables'
> {
  readonly isReady: () => boolean;
}

/**
 * Writes one line when the first requests can be taken: how long it took, and what of the process.
 *
 * @returns ends the watch
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
  const look = (): void => {
    if (!isReady()) {
      cancelTimer = clock.startTimer(LOOK_MS, look);
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
  look();
  return () => cancelTimer();
};
