import type { Result } from 'neverthrow';
import type { ConfigurationProblem } from '../../../adapters/toml';
import type { Configuration } from '../../../domain/types';
import type { OperatorPlatform } from './OperatorPlatform';

/** External dependencies of the commands. New commands add theirs here. */
export interface OperatorTools {
  readConfigurationFolder(
    folder: string,
  ): Promise<Result<Configuration, readonly ConfigurationProblem[]>>;
  /**
   * Reads the settings and connects to the platform that they name.
   *
   * @param settingsFile - settings file; if empty, the file that JACKDAW_SETTINGS names, or else
   *   the environment variables
   */
  openPlatform(
    settingsFile: string,
  ): Promise<Result<OperatorPlatform, readonly ConfigurationProblem[]>>;
}
