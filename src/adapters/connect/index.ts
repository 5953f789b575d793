export { createPeerClient } from './createPeerClient';
export type { PeerClient, PeerClientDependencies } from './createPeerClient';
export { startPeerServer } from './startPeerServer';
export type { PeerServer, PeerServerDependencies, PeerServerError } from './startPeerServer';
