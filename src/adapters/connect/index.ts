export { createGatewayClient, type GatewayClient } from './createGatewayClient';
export {
  createGatewayHandlers,
  type GatewayHandlers,
  type GatewayServices,
} from './createGatewayHandlers';
export { createPeerClient } from './createPeerClient';
export type { PeerClient, PeerClientDependencies } from './createPeerClient';
export type { PeerServer, PeerServerError } from './startConnectServer';
export { createRelayHandler, type RelayHandler } from './createRelayHandler';
export { startGatewayServer } from './startGatewayServer';
export { startPeerServer } from './startPeerServer';
export type { PeerServerDependencies } from './startPeerServer';
