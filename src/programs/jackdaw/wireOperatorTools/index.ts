import { readConfigurationFolder } from '../../../adapters/toml';
import { openPlatform } from '../openPlatform';
import type { OperatorTools } from '../types';

/** Wires the parts that the commands use. Opens no connection by itself. */
export function wireOperatorTools(): OperatorTools {
  return { readConfigurationFolder, openPlatform };
}
