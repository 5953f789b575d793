import type { Clock, EventLog } from '../../../../application/ports';
import { startLoop } from '../../../../application/time';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { readGatewaySettings } from '../readGatewaySettings';

/** Dependencies of a settings watch. */
export interface SettingsWatchDependencies {
  readonly file: string;
  /** Settings in force at the start. */
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Applies changed settings and returns the keys that take effect only after a restart. */
  readonly applySettings: (settings: GatewaySettings) => readonly string[];
}

/** Watches a settings file. */
export interface SettingsWatch {
  /** Reads the file; resolves when its settings are applied or rejected. */
  readNow(): Promise<void>;
  stop(): void;
}

/** Interval between reads of the file, which may also change without a signal. */
const READ_INTERVAL_MS = 5000;

/** Watches the settings file. Invalid settings are rejected, and the earlier ones stay in force. */
export const startSettingsWatch = ({
  applySettings,
  clock,
  file,
  log,
  settings,
}: SettingsWatchDependencies): SettingsWatch => {
  let inForce = JSON.stringify(settings);
  let lastProblem = '';
  let isStopped = false;

  const acceptSettings = (next: GatewaySettings): void => {
    lastProblem = '';
    const text = JSON.stringify(next);
    if (text === inForce) return;
    inForce = text;
    log.info('settings in force', { file, needRestart: applySettings(next).join(' ') });
  };

  const rejectSettings = (problems: readonly string[]): void => {
    const reason = problems.join('; ');
    // The same problem is logged once, not at every read.
    if (reason !== lastProblem) log.error('settings refused', { file, reason });
    lastProblem = reason;
  };

  const readNow = async (): Promise<void> => {
    const read = await readGatewaySettings(file);
    if (!isStopped) read.match(acceptSettings, rejectSettings);
  };

  const stopLoop = startLoop({
    clock,
    firstDelayMs: READ_INTERVAL_MS,
    runStep: async () => {
      await readNow();
      return READ_INTERVAL_MS;
    },
    handleFailure: (reason) => {
      rejectSettings([reason]);
      return READ_INTERVAL_MS;
    },
  });
  return {
    readNow,
    stop: () => {
      isStopped = true;
      stopLoop();
    },
  };
};
