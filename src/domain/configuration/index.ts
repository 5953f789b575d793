export { checkConfiguration } from './checkConfiguration';
export { checkFreshness, FRESHNESS_LIMIT_MS } from './checkFreshness';
export type { CutOff, Freshness } from './checkFreshness';
export { checkTableReaders } from './checkTableReaders';
export type { TooFewReaders } from './checkTableReaders';
export { compareConfigurations } from './compareConfigurations';
export { decodeConfiguration } from './decodeConfiguration';
export type { ConfigurationDecodeError } from './decodeConfiguration';
export { decodeConfigurationRow } from './decodeConfigurationRow';
export { DEFAULT_LIMITS } from './defaultLimits';
export { encodeConfiguration } from './encodeConfiguration';
export { encodeConfigurationRow } from './encodeConfigurationRow';
export { formatVersionKey } from './formatVersionKey';
export { sortByName } from './sortByName';
export type {
  ConfigurationChange,
  ConfigurationFault,
  ConfigurationRow,
  FreshnessEvidence,
  TableReaders,
} from './types';
