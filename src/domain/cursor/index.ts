export { addTokensToChain } from './addTokensToChain';
export { computeInitialChain } from './computeInitialChain';
export { signCursor } from './signCursor';
export { verifyCursor, type CursorError } from './verifyCursor';
