export type { ConfigReport } from './ConfigReport';
