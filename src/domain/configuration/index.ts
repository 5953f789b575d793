export { checkConfiguration } from './checkConfiguration';
export { compareConfigurations } from './compareConfigurations';
export { decodeConfiguration } from './decodeConfiguration';
export type { ConfigurationDecodeError } from './decodeConfiguration';
export { DEFAULT_LIMITS } from './defaultLimits';
export { encodeConfiguration } from './encodeConfiguration';
export { sortByName } from './sortByName';
export type { ConfigurationChange, ConfigurationFault } from './types';
