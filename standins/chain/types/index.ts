export type { ChainReport } from './ChainReport';
export type { ChainToken } from './ChainToken';
