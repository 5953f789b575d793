export { checkRequestKey, type RequestAccess } from './checkRequestKey';
export { chooseForwardServer, type ServerChoiceOptions } from './chooseForwardServer';
export { chooseTarget } from './chooseTarget';
export { findRoute } from './findRoute';
export { splitEvents, type SplitEvents, type StreamEvent } from './splitEvents';
export * from './types';
