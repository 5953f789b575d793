export type { AllowedServers } from './AllowedServers';
export type { ReadyServers } from './ReadyServers';
