export { checkCaller } from './checkCaller';
export type { Caller, CallerRefusal } from './checkCaller';
