export { createCallerApp } from './createCallerApp';
export { createHttpPlainClient } from './createHttpPlainClient';
export type { HttpPlainClient } from './createHttpPlainClient';
export { startCallerServer } from './startCallerServer';
export type { ListeningServer, ListenError } from './startCallerServer';
export { startListening } from './_lib/startListening';
export type { CallerDependencies, CursorSigner } from './types';
export { startForwardingServer } from './startForwardingServer';
export type { ForwardingServer, RawRequestHead } from './startForwardingServer';
