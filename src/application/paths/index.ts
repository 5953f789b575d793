export { createRelayRegistry, type RelayRegistry } from './createRelayRegistry';
export { createServerPaths, type ServerPaths } from './createServerPaths';
export { createServerReach, type ServerReach } from './createServerReach';
export { RELAY_HEADERS, RELAY_PREFIX, RELAY_UNFRAMED } from './relayNames';
export type {
  PathFailure,
  ReachAnswer,
  ReachQuestion,
  RelayedRequest,
  RelayedResponse,
} from './types';
