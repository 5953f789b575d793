export type { ConfigurationChange } from './ConfigurationChange';
export type { ConfigurationFault } from './ConfigurationFault';
