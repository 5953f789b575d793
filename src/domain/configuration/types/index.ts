export type { ConfigurationChange } from './ConfigurationChange';
export type { ConfigurationFault } from './ConfigurationFault';
export type { ConfigurationRow } from './ConfigurationRow';
export type { FreshnessEvidence } from './FreshnessEvidence';
export type { TableReaders } from './TableReaders';
