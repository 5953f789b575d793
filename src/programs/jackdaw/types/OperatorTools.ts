import type { Result } from 'neverthrow';
import type { ConfigurationProblem } from '../../../adapters/toml';
import type { Configuration } from '../../../domain/types';
import type { OperatorPlatform } from './OperatorPlatform';

/** What the commands need of the outside. New commands add their parts here. */
export interface OperatorTools {
  readConfigurationFolder(
    folder: string,
  ): Promise<Result<Configuration, readonly ConfigurationProblem[]>>;
  /**
   * Reads the settings and connects to what they name.
   *
   * @param settingsFile - empty: the file that JACKDAW_SETTINGS names, or else the environment
   */
  openPlatform(
    settingsFile: string,
  ): Promise<Result<OperatorPlatform, readonly ConfigurationProblem[]>>;
}
