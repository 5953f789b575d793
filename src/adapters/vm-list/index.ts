export { createHttpVmList } from './createHttpVmList';
export type { VmListSettings } from './createHttpVmList';
