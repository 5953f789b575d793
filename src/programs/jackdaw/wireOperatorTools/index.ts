import { readConfigurationFolder } from '../../../adapters/toml';
import { openPlatform } from '../openPlatform';
import type { OperatorTools } from '../types';

/** Wires the external dependencies of the commands without opening a connection. */
export function wireOperatorTools(): OperatorTools {
  return { readConfigurationFolder, openPlatform };
}
