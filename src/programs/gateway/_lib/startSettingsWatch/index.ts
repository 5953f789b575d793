import type { Clock, EventLog } from '../../../../application/ports';
import { startLoop } from '../../../../application/time';
import type { GatewaySettings } from '../../../../domain/forwarding';
import { readGatewaySettings } from '../readGatewaySettings';

/** What a watch needs. */
export interface SettingsWatchDependencies {
  readonly file: string;
  /** Settings in force. */
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Takes settings that changed, and says which of their keys need a restart. */
  readonly applySettings: (settings: GatewaySettings) => readonly string[];
}

/** Follows a settings file. */
export interface SettingsWatch {
  /** Reads the file now; resolves when what it says is in force, or refused. */
  readNow(): Promise<void>;
  stop(): void;
}

/** The file may change without a signal: it is read this often, which costs nothing. */
const READ_INTERVAL_MS = 5000;

/** Follows the settings file; one that can't be used leaves the settings before in force. */
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
    // The same fault is told once, not at each look.
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
