export { createCallerApp } from './createCallerApp';
export { createHttpPlainClient } from './createHttpPlainClient';
export type { HttpPlainClient } from './createHttpPlainClient';
export { startCallerServer } from './startCallerServer';
export type { CallerServer, ListenError } from './startCallerServer';
export { startListening } from './_lib/startListening';
export type { CallerDependencies, CursorCodec } from './types';
export { startForwardingServer } from './startForwardingServer';
export type { ForwardingServer, RawHead } from './startForwardingServer';
