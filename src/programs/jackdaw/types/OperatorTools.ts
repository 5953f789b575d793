import type { Result } from 'neverthrow';
import type { ConfigurationProblem } from '../../../adapters/toml';
import type { Configuration } from '../../../domain/types';

/** What the commands need of the outside. New commands add their parts here. */
export interface OperatorTools {
  readConfigurationFolder(
    folder: string,
  ): Promise<Result<Configuration, readonly ConfigurationProblem[]>>;
}
