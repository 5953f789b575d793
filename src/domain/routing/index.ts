export { computePrefixDigests, MAX_PREFIXES, PREFIX_CUT_CHARACTERS } from './computePrefixDigests';
export { filterAllowedServers } from './filterAllowedServers';
export { filterBackendServers } from './filterBackendServers';
export type { ServerStateView } from './filterBackendServers';
export type { AllowedServers, ReadyServers } from './types';
export { chooseServer } from './chooseServer';
export type { ScoredServers } from './chooseServer';
export { estimateFirstTokenMs } from './estimateFirstTokenMs';
export type { FirstTokenInputs } from './estimateFirstTokenMs';
