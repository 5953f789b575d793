export { createGatewayClient, type GatewayClient } from './createGatewayClient';
export { createGatewayRoutes } from './createGatewayRoutes';
export { createPeerClient } from './createPeerClient';
export type { PeerClient, PeerClientDependencies } from './createPeerClient';
export { startConnectServer } from './startConnectServer';
export type { PeerServer, PeerServerError } from './startConnectServer';
export { startPeerServer } from './startPeerServer';
export type { PeerServerDependencies } from './startPeerServer';
